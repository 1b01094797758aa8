#include "configuration/configuration.h"

#include "configuration/teamkeys.h"
#include "settings/jsonreader.h"

#include <algorithm>
#include <cctype>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLongestTimeout{ 3600000 };
static constexpr std::chrono::milliseconds kDefaultTimeout{ 2000 };
static constexpr std::chrono::milliseconds kDefaultExpectedCost{ 20 };
static constexpr int64_t kMaximumRetries = 5;
static constexpr int64_t kMaximumInFlight = 1000000;
static constexpr int64_t kMaximumConnections = 1000000;
static constexpr int64_t kDefaultConnections = 1024;
static constexpr int64_t kMaximumWeight = 1000000;
static constexpr int64_t kLowestPriority = 1000;
static constexpr double kMaximumRequestsPerSecond = 1e9;
static constexpr int64_t kMaximumBodyBytes = 1024L * 1024 * 1024;
static constexpr size_t kDocumentLimitBytes = 4UL * 1024 * 1024;

static void
ReadServices(JsonReader& aReader, Configuration& aConfiguration)
{
  aReader.ForEach("services", [&](const std::string& aName, JsonReader& aService) {
    aConfiguration.services[aName] = { .name = aName,
                                       .homeRegion = aService.Text("homeRegion", ""),
                                       .healthPath = aService.Text("healthPath", ""),
                                       .maxConnections = aService.Integer(
                                         "maxConnections", 1, kMaximumConnections, kDefaultConnections) };
  });
}

static void
ReadLimits(JsonReader& aReader, Configuration& aConfiguration)
{
  aReader.ForEach("limits", [&](const std::string& aName, JsonReader& aLimit) {
    aConfiguration.limits[aName] = { .name = aName,
                                     .maxInFlight = aLimit.Integer("maxInFlight", 1, kMaximumInFlight, 1) };
  });
}

static void
CheckReferences(const JsonReader& aReader,
                const Route& aRoute,
                const Configuration& aConfiguration,
                Problems& aProblems)
{
  for (const RouteShare& share : aRoute.shares) {
    if (!share.service.empty() && !aConfiguration.services.contains(share.service)) {
      aProblems.Add(aReader.PathOf(aRoute.shares.size() > 1 ? "split" : "service"),
                    "service '" + share.service + "' isn't declared in this document; add it to services");
    }
  }
  if (!aRoute.limit.empty() && !aConfiguration.limits.contains(aRoute.limit)) {
    aProblems.Add(aReader.PathOf("limit"),
                  "limit '" + aRoute.limit + "' isn't declared in this document; add it to limits");
  }
  if (!aRoute.pathPrefix.starts_with('/')) {
    aProblems.Add(aReader.PathOf("pathPrefix"), "must start with '/'");
  }
  if (!aRoute.Idempotent() && aRoute.hedgeAfter.count() > 0) {
    aProblems.Add(aReader.PathOf("hedgeAfterMs"),
                  "is for idempotent routes only; remove it or set idempotent");
  }
}

/** Returns whether a text is empty or has only characters of a host name. */
static bool
IsHostName(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) != 0 || aCharacter == '.' || aCharacter == '-' || aCharacter == '_';
  });
}

/** Returns whether a text is a token of HTTP (RFC 9110, section 5.6.2). */
static bool
IsToken(const std::string& aText)
{
  static const std::string kPunctuation = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) != 0 ||
           kPunctuation.find(static_cast<char>(aCharacter)) != std::string::npos;
  });
}

static void
CheckMatchFields(const JsonReader& aReader, const Route& aRoute, Problems& aProblems)
{
  if (!IsHostName(aRoute.host)) {
    aProblems.Add(aReader.PathOf("host"),
                  "'" + aRoute.host + "' isn't a host name; use only letters, digits, '.', '-' and '_'");
  }
  for (const std::string& method : aRoute.methods) {
    if (!IsToken(method)) {
      aProblems.Add(aReader.PathOf("methods"), "'" + method + "' isn't an HTTP method; use one such as GET");
    }
  }
}

static std::vector<RouteShare>
ReadShares(JsonReader& aReader, Problems& aProblems)
{
  std::vector<RouteShare> shares;
  aReader.ForEachElement("split", [&](JsonReader& aShare) {
    shares.push_back(
      { .service = aShare.Text("service"), .weight = aShare.Integer("weight", 0, kMaximumWeight, 1) });
  });
  if (shares.empty()) {
    return { { .service = aReader.Text("service"), .weight = 1 } };
  }
  if (aReader.Has("service")) {
    aProblems.Add(aReader.PathOf("service"), "can't be combined with 'split'; remove one of them");
    aReader.Text("service");
  }
  if (std::all_of(shares.begin(), shares.end(), [](const auto& aShare) { return aShare.weight == 0; })) {
    aProblems.Add(aReader.PathOf("split"), "gives every service the weight 0; raise one");
  }
  return shares;
}

static RepeatPolicy
ReadRepeatPolicy(JsonReader& aReader)
{
  if (aReader.Flag("idempotent", false)) {
    return RepeatPolicy::Idempotent;
  }
  const std::string text = aReader.OneOf("repeat", { "idempotent", "keyed", "once" }, "keyed");
  return text == "idempotent" ? RepeatPolicy::Idempotent
         : text == "once"     ? RepeatPolicy::AtMostOnce
                              : RepeatPolicy::Keyed;
}

static Route
ReadRoute(const std::string& aName, JsonReader& aReader, Problems& aProblems)
{
  const std::chrono::milliseconds zero{ 0 };
  const std::chrono::milliseconds one{ 1 };
  Route route;
  route.name = aName;
  route.host = aReader.Text("host", "");
  route.pathPrefix = aReader.Text("pathPrefix");
  route.methods = aReader.Texts("methods");
  route.shares = ReadShares(aReader, aProblems);
  route.timeout = aReader.Milliseconds("timeoutMs", one, kLongestTimeout, kDefaultTimeout);
  route.repeatPolicy = ReadRepeatPolicy(aReader);
  route.callClass =
    aReader.OneOf("class", { "short", "long" }, "short") == "long" ? CallClass::Long : CallClass::Short;
  route.expectedCost = aReader.Milliseconds("expectedCostMs", one, kLongestTimeout, kDefaultExpectedCost);
  route.retries = aReader.Integer("retries", 0, kMaximumRetries, 1);
  route.hedgeAfter = aReader.Milliseconds("hedgeAfterMs", zero, kLongestTimeout, zero);
  route.limit = aReader.Text("limit", "");
  route.latencyObjective = aReader.Milliseconds("latencyObjectiveMs", zero, kLongestTimeout, zero);
  route.priority = aReader.Integer("priority", 0, kLowestPriority, 1);
  route.isPublic = aReader.Flag("public", false);
  CheckMatchFields(aReader, route, aProblems);
  return route;
}

static bool
MatchSameRequests(const Route& aLeft, const Route& aRight)
{
  return aLeft.host == aRight.host && aLeft.pathPrefix == aRight.pathPrefix &&
         aLeft.methods == aRight.methods;
}

static void
ReadRoutes(JsonReader& aReader, Configuration& aConfiguration, Problems& aProblems)
{
  aReader.ForEach("routes", [&](const std::string& aName, JsonReader& aRoute) {
    Route route = ReadRoute(aName, aRoute, aProblems);
    CheckReferences(aRoute, route, aConfiguration, aProblems);
    for (const Route& other : aConfiguration.routes) {
      if (MatchSameRequests(route, other)) {
        aProblems.Add(aRoute.PathOf("pathPrefix"),
                      "matches the same requests as route '" + other.name + "'; change or remove one");
      }
    }
    aConfiguration.routes.push_back(std::move(route));
  });
  std::stable_sort(
    aConfiguration.routes.begin(), aConfiguration.routes.end(), [](const Route& aLeft, const Route& aRight) {
      return aLeft.pathPrefix.size() > aRight.pathPrefix.size();
    });
}

static std::vector<std::string>
ReadKeyDigests(JsonReader& aReader, Problems& aProblems)
{
  std::vector<std::string> digests;
  for (const std::string& key : aReader.Texts("keys")) {
    if (key.empty()) {
      aProblems.Add(aReader.PathOf("keys"), "must not contain an empty key; remove it");
    }
    digests.push_back(DigestOfListedKey(key));
  }
  return digests;
}

static void
ReadTeams(JsonReader& aReader, Configuration& aConfiguration, Problems& aProblems)
{
  aConfiguration.hasTeams = aReader.Has("teams");
  aReader.ForEach("teams", [&](const std::string& aName, JsonReader& aTeam) {
    if (const Result<void> checked = CheckTeamName(aName); !checked) {
      aProblems.Add(aReader.PathOf("teams"), "the name of a team " + checked.error().message);
    }
    Team team{ .name = aName,
               .keyDigests = ReadKeyDigests(aTeam, aProblems),
               .priority = aTeam.Integer("priority", 0, kLowestPriority, 1),
               .requestsPerSecond = aTeam.Number("requestsPerSecond", 0, kMaximumRequestsPerSecond, 0),
               .burst = aTeam.Number("burst", 0, kMaximumRequestsPerSecond, 0) };
    if (const Result<void> added = AddTeam(aConfiguration, std::move(team)); !added) {
      aProblems.Add(aTeam.PathOf("keys"), added.error().message);
    }
  });
}

static void
ReadTargets(JsonReader& aReader, Configuration& aConfiguration)
{
  aReader.ForEach("targets", [&](const std::string& aName, JsonReader& aTarget) {
    const std::string intent = aTarget.OneOf("intent", { "serving", "draining", "stopped" }, "");
    aConfiguration.targets[aName] = intent == "draining"  ? TargetIntent::Draining
                                    : intent == "stopped" ? TargetIntent::Stopped
                                                          : TargetIntent::Serving;
  });
}

static void
ReadCallerLimits(JsonReader& aReader, Configuration& aConfiguration)
{
  CallerLimits& limits = aConfiguration.callerLimits;
  limits.maxHeaderBytes = aReader.Integer("maxHeaderBytes", 1024, kMaximumBodyBytes, limits.maxHeaderBytes);
  limits.maxBodyBytes = aReader.Integer("maxBodyBytes", 0, kMaximumBodyBytes, limits.maxBodyBytes);
  const std::chrono::milliseconds one{ 1 };
  limits.headerTimeout = aReader.Milliseconds("headerTimeoutMs", one, kLongestTimeout, limits.headerTimeout);
  limits.idleTimeout = aReader.Milliseconds("idleTimeoutMs", one, kLongestTimeout, limits.idleTimeout);
}

Result<Configuration>
ParseConfiguration(const std::string& aText, const std::string& aSource, DocumentOrigin aOrigin)
{
  if (aText.size() > kDocumentLimitBytes) {
    return Fail(ErrorKind::InvalidInput,
                aSource + ": larger than " + std::to_string(kDocumentLimitBytes) +
                  " bytes; shorten the document");
  }
  MIMOSARUN_TRY(const nlohmann::json document, ParseJson(aText, aSource));
  Problems problems;
  JsonReader reader(document, aSource, problems);
  Configuration configuration;
  ReadServices(reader, configuration);
  ReadLimits(reader, configuration);
  ReadRoutes(reader, configuration, problems);
  ReadCallerLimits(reader, configuration);
  ReadTeams(reader, configuration, problems);
  if (aOrigin == DocumentOrigin::Control) {
    ReadTargets(reader, configuration);
  }
  reader.ReportUnknownKeys();
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return configuration;
}

Result<Configuration>
NativeFormat::Parse(const std::string& aText)
{
  return ParseConfiguration(aText, "configuration", DocumentOrigin::Control);
}

std::optional<std::string>
NativeFormat::RedactKeys(const std::string& aText)
{
  if (!MayHaveMember(aText, "teams")) {
    return std::nullopt;
  }
  nlohmann::json document = nlohmann::json::parse(aText, nullptr, true, true);
  const auto teams = document.find("teams");
  if (teams == document.end()) {
    return std::nullopt;
  }
  for (nlohmann::json& team : *teams) {
    if (!team.contains("keys")) {
      continue;
    }
    for (nlohmann::json& key : team["keys"]) {
      key = MarkedDigest(key.get<std::string>());
    }
  }
  return document.dump();
}

static bool
Matches(const Route& aRoute, const std::string& aHost, const std::string& aPath, const std::string& aMethod)
{
  if (!aRoute.host.empty() && aRoute.host != aHost) {
    return false;
  }
  if (!aPath.starts_with(aRoute.pathPrefix)) {
    return false;
  }
  return aRoute.methods.empty() ||
         std::find(aRoute.methods.begin(), aRoute.methods.end(), aMethod) != aRoute.methods.end();
}

const Route*
FindRoute(const Configuration& aConfiguration,
          const std::string& aHost,
          const std::string& aPath,
          const std::string& aMethod)
{
  for (const Route& route : aConfiguration.routes) {
    if (Matches(route, aHost, aPath, aMethod)) {
      return &route;
    }
  }
  return nullptr;
}

Result<std::string>
CanonicalText(const std::string& aText, const std::string& aSource)
{
  MIMOSARUN_TRY(const nlohmann::json document, ParseJson(aText, aSource));
  return document.dump();
}

const char*
Name(TargetIntent aIntent)
{
  switch (aIntent) {
    case TargetIntent::Serving:
      return "serving";
    case TargetIntent::Draining:
      return "draining";
    case TargetIntent::Stopped:
      return "stopped";
  }
  return "serving";
}

const char*
Name(RepeatPolicy aPolicy)
{
  switch (aPolicy) {
    case RepeatPolicy::Idempotent:
      return "idempotent";
    case RepeatPolicy::Keyed:
      return "keyed";
    case RepeatPolicy::AtMostOnce:
      return "once";
  }
  return "once";
}

const char*
Name(CallClass aClass)
{
  return aClass == CallClass::Long ? "long" : "short";
}

} // namespace mimosarun
