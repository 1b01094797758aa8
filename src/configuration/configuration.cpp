#include "configuration/configuration.h"

#include "settings/jsonreader.h"

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLongestTimeout{ 3600000 };
static constexpr std::chrono::milliseconds kDefaultTimeout{ 2000 };
static constexpr std::chrono::milliseconds kDefaultCost{ 20 };
static constexpr int64_t kMaximumRetries = 5;
static constexpr int64_t kMaximumInFlight = 1000000;
static constexpr size_t kDocumentLimitBytes = 4UL * 1024 * 1024;

static void
ReadServices(JsonReader& aReader, Configuration& aConfiguration)
{
  aReader.ForEach("services", [&](const std::string& aName, JsonReader& aService) {
    aConfiguration.services[aName] = { .name = aName, .homeRegion = aService.Text("homeRegion") };
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
  if (!aRoute.service.empty() && !aConfiguration.services.contains(aRoute.service)) {
    aProblems.Add(aReader.PathOf("service"),
                  "'" + aRoute.service + "' is no service of this document; declare it under services");
  }
  if (!aRoute.limit.empty() && !aConfiguration.limits.contains(aRoute.limit)) {
    aProblems.Add(aReader.PathOf("limit"),
                  "'" + aRoute.limit + "' is no limit of this document; declare it under limits");
  }
  if (!aRoute.pathPrefix.starts_with('/')) {
    aProblems.Add(aReader.PathOf("pathPrefix"), "must start with '/'");
  }
  if (!aRoute.idempotent && aRoute.hedgeAfter.count() > 0) {
    aProblems.Add(aReader.PathOf("hedgeAfterMs"),
                  "is for idempotent routes only; remove it or set idempotent");
  }
}

static Route
ReadRoute(const std::string& aName, JsonReader& aReader)
{
  const std::chrono::milliseconds zero{ 0 };
  const std::chrono::milliseconds one{ 1 };
  Route route;
  route.name = aName;
  route.host = aReader.Text("host", "");
  route.pathPrefix = aReader.Text("pathPrefix");
  route.methods = aReader.Texts("methods");
  route.service = aReader.Text("service");
  route.timeout = aReader.Milliseconds("timeoutMs", one, kLongestTimeout, kDefaultTimeout);
  route.idempotent = aReader.Flag("idempotent", false);
  route.callClass =
    aReader.OneOf("class", { "short", "long" }, "short") == "long" ? CallClass::Long : CallClass::Short;
  route.expectedCost = aReader.Milliseconds("expectedCostMs", one, kLongestTimeout, kDefaultCost);
  route.retries = aReader.Integer("retries", 0, kMaximumRetries, 1);
  route.hedgeAfter = aReader.Milliseconds("hedgeAfterMs", zero, kLongestTimeout, zero);
  route.limit = aReader.Text("limit", "");
  return route;
}

static bool
MatchesTheSame(const Route& aLeft, const Route& aRight)
{
  return aLeft.host == aRight.host && aLeft.pathPrefix == aRight.pathPrefix &&
         aLeft.methods == aRight.methods;
}

static void
ReadRoutes(JsonReader& aReader, Configuration& aConfiguration, Problems& aProblems)
{
  aReader.ForEach("routes", [&](const std::string& aName, JsonReader& aRoute) {
    Route route = ReadRoute(aName, aRoute);
    CheckReferences(aRoute, route, aConfiguration, aProblems);
    for (const Route& other : aConfiguration.routes) {
      if (MatchesTheSame(route, other)) {
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
  if (aOrigin == DocumentOrigin::Control) {
    ReadTargets(reader, configuration);
  }
  reader.Finish();
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return configuration;
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
Name(CallClass aClass)
{
  return aClass == CallClass::Long ? "long" : "short";
}

} // namespace mimosarun
