#define BOOST_TEST_MODULE adapters
#include "common/digest.h"
#include "platform/callers.h"
#include "platform/configformat.h"
#include "platform/heartbeats.h"
#include "platform/rolloutapi.h"
#include "platform/settings.h"
#include "platform/targets.h"
#include "platform/values.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static const char* const kNodeSettings = R"({
  "nodeId": "sidecar-1", "role": "node", "machineClass": "sidecar", "serves": ["sidecar"], "ip": "10.1.0.8",
  "zone": "north", "region": "east", "zones": {"north": "east", "south": "west"}, "unknown": {"x": 1},
  "listenAddrs": {"inbound": "10.1.0.8:8300", "outbound": "10.1.0.8:8304", "ready": "10.1.0.8:8302",
                  "control": "10.1.0.8:8306"},
  "portRange": [7620, 7635], "seeds": ["10.1.0.12:8306", "10.2.0.10:8306"], "bootstrap": true,
  "dataDir": null, "heartbeat": "1500ms", "bounds": ["grace=6s", "retryBudgetRatio=0.2", "budgetSlack=64"],
  "appAddr": "10.1.0.8:8301", "service": "books"})";

static std::string
ReplaceText(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const size_t position = aText.find(aOld);
  BOOST_REQUIRE(position != std::string::npos);
  return aText.replace(position, aOld.size(), aNew);
}

BOOST_AUTO_TEST_CASE(settings_of_the_infrastructure_are_parsed)
{
  const auto settings = platform::ParseSettings(kNodeSettings, "boot.json");
  BOOST_REQUIRE(settings.has_value());
  const ProcessSettings& process = settings.value().process;
  BOOST_TEST((process.role == ProcessRole::Node));
  BOOST_TEST(process.failureDomain == "north");
  BOOST_TEST(process.callerAddress.Text() == "10.1.0.8:8304");
  BOOST_TEST(process.replicas.size() == 2u);
  BOOST_TEST(process.replicas[1].address.Text() == "10.2.0.10:7620");
  BOOST_TEST(process.regions.size() == 2u);
  BOOST_TEST((settings.value().gracePeriod == milliseconds(6000)));
}

BOOST_AUTO_TEST_CASE(errors_of_invalid_settings_name_the_field)
{
  const auto messageOf = [](const std::string& aText) {
    const auto settings = platform::ParseSettings(aText, "boot.json");
    return settings ? std::string() : settings.error().message;
  };
  BOOST_TEST(
    messageOf(ReplaceText(kNodeSettings, "\"10.1.0.8:8304\"", "\"nowhere\"")).find("listenAddrs.outbound") !=
    std::string::npos);
  BOOST_TEST(
    messageOf(ReplaceText(kNodeSettings, "\"nodeId\": \"sidecar-1\", ", "")).find("nodeId: is missing") !=
    std::string::npos);
  BOOST_TEST(messageOf(ReplaceText(kNodeSettings, "[\"sidecar\"]", "[\"other\"]")).find("serves") !=
             std::string::npos);
  BOOST_TEST(messageOf("{").find("boot.json") != std::string::npos);
}

static const std::string kConfigurationDocument = R"({"version":"r7","routes":[
  {"name":"a","host":"x.example","pathPrefix":"/a/","kind":"unsafe","timeout":"1200ms","targetLatency":"800ms",
   "priority":1,"service":"books","maxAttempts":2},
  {"name":"b","host":"x.example","pathPrefix":"/a/b/","kind":"safe","timeout":"2.5s","targetLatency":"1s",
   "priority":2,"trafficSplit":[{"service":"books","weight":90},{"service":"desk","weight":10}],"maxAttempts":1}],
  "services":[{"name":"books","healthPath":"/healthz","maxConnections":130},{"name":"desk"}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

BOOST_AUTO_TEST_CASE(a_configuration_is_parsed_completely)
{
  const auto parsed = platform::ConfigFormat::Parse(kConfigurationDocument);
  BOOST_REQUIRE(parsed.has_value());
  const Configuration& configuration = parsed.value();
  const Route* route = FindRoute(configuration, "x.example", "/a/b/c", "GET");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(route->name == "b");
  BOOST_TEST(route->Idempotent());
  BOOST_TEST(route->shares.size() == 2u);
  BOOST_TEST((route->timeout == milliseconds(2500)));
  const Route* other = FindRoute(configuration, "x.example", "/a/c", "POST");
  BOOST_REQUIRE(other != nullptr);
  BOOST_TEST((other->repeatPolicy == RepeatPolicy::AtMostOnce));
  BOOST_TEST(other->retries == 1);
  BOOST_TEST(FindRoute(configuration, "y.example", "/a/c", "GET") == nullptr);
  BOOST_TEST(configuration.callerLimits.maxBodyBytes == 1000);
  BOOST_TEST(platform::ParseDocumentVersion(kConfigurationDocument).value() == 7);
}

BOOST_AUTO_TEST_CASE(a_download_is_idempotent)
{
  const auto parsed = platform::ConfigFormat::Parse(
    ReplaceText(kConfigurationDocument, "\"kind\":\"unsafe\"", "\"kind\":\"download\""));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(FindRoute(parsed.value(), "x.example", "/a/c", "GET")->Idempotent());
}

/** A change that makes the document invalid, and a text that the error message must contain. */
struct InvalidChange
{
  const char* oldText;
  const char* newText;
  const char* expectedInError;
};

static std::ostream&
operator<<(std::ostream& aStream, const InvalidChange& aChange)
{
  return aStream << aChange.newText;
}

static const InvalidChange kInvalidChanges[] = {
  { "\"service\":\"books\",\"maxAttempts\":2", "\"service\":\"gone\",\"maxAttempts\":2", "gone" },
  { "\"timeout\":\"1200ms\"", "\"timeout\":\"601s\"", "routes[0].timeout" },
  { "\"timeout\":\"1200ms\",", "", "routes[0].timeout" },
  { "\"maxAttempts\":2", "\"maxAttempts\":0", "routes[0].maxAttempts" },
  { "\"pathPrefix\":\"/a/\"", "\"pathPrefix\":\"a/\"", "routes[0].pathPrefix" },
  { "\"kind\":\"unsafe\"", "\"kind\":\"odd\"", "routes[0].kind" },
  { "/a/b/", "/a/", "routes[1].pathPrefix" },
  { "\"weight\":90", "\"weight\":-1", "trafficSplit.weight" },
  { "{\"service\":\"desk\",\"weight\":10}", "{\"service\":\"lost\",\"weight\":10}", "lost" },
  { "\"limits\"", "\"lim", "read" },
};

BOOST_DATA_TEST_CASE(errors_of_an_invalid_configuration_name_the_field, kInvalidChanges, change)
{
  const auto parsed =
    platform::ConfigFormat::Parse(ReplaceText(kConfigurationDocument, change.oldText, change.newText));
  BOOST_REQUIRE(!parsed.has_value());
  BOOST_TEST(parsed.error().message.find(change.expectedInError) != std::string::npos,
             parsed.error().message);
}

static std::string
WithTeams(const std::string& aTeams)
{
  return ReplaceText(kConfigurationDocument, "\"limits\"", "\"tenants\":" + aTeams + ",\"limits\"");
}

static const std::string kTeams = R"([{"name":"till","apiKeys":["s3cret-1","s3cret-2"],"priority":0,
  "ratePerS":12.5,"burst":20,"more":{"x":1.50}},{"name":"the desk","apiKeys":["s3cret-3"]},{"name":"new"}])";

BOOST_AUTO_TEST_CASE(teams_and_public_routes_of_a_configuration_are_parsed)
{
  const auto parsed = platform::ConfigFormat::Parse(
    ReplaceText(WithTeams(kTeams), "\"kind\":\"unsafe\"", "\"public\":true,\"kind\":\"unsafe\""));
  BOOST_REQUIRE(parsed.has_value());
  const Configuration& configuration = parsed.value();
  BOOST_TEST(configuration.hasTeams);
  BOOST_TEST(configuration.teams.size() == 3u);
  const Team& team = configuration.teams.at("till");
  BOOST_TEST(team.requestsPerSecond == 12.5);
  BOOST_TEST(team.burst == 20);
  BOOST_TEST(team.priority == 0);
  BOOST_TEST(configuration.teamByKeyDigest.at(Sha256("s3cret-3")) == "the desk");
  BOOST_TEST(FindRoute(configuration, "x.example", "/a/c", "POST")->isPublic);
  BOOST_TEST(!FindRoute(configuration, "x.example", "/a/b/c", "GET")->isPublic);
  BOOST_TEST(!platform::ConfigFormat::Parse(kConfigurationDocument).value().hasTeams);
  BOOST_TEST(platform::ConfigFormat::Parse(WithTeams("[]")).value().hasTeams);
}

static const InvalidChange kInvalidTeams[] = {
  { "", "{}", "configuration.tenants" },
  { "", "7", "configuration.tenants" },
  { "", "[7]", "tenants[0]" },
  { "", R"([{"apiKeys":["s3cret"]}])", "tenants[0].name" },
  { "", R"([{"name":"","apiKeys":["s3cret"]}])", "tenants[0].name" },
  { "", R"([{"name":3,"apiKeys":["s3cret"]}])", "tenants[0].name" },
  { "", R"([{"name":"a\r\nB: c","apiKeys":["s3cret"]}])", "tenants[0].name" },
  { "", R"([{"name":"a"},{"name":"a","apiKeys":["s3cret"]}])", "'a' occurs twice" },
  { "", R"([{"name":"a","apiKeys":["s3cret"]},{"name":"b","apiKeys":["s3cret"]}])", "'a' and 'b'" },
  { "", R"([{"name":"a","apiKeys":["s3cret",""]}])", "tenants[0].apiKeys" },
  { "", R"([{"name":"a","apiKeys":["s3cret",1]}])", "tenants[0].apiKeys" },
  { "", R"([{"name":"a","apiKeys":"s3cret"}])", "tenants[0].apiKeys" },
  { "", R"([{"name":"a","apiKeys":["s3cret"],"priority":1.5}])", "tenants[0].priority" },
  { "", R"([{"name":"a","apiKeys":["s3cret"],"priority":-1}])", "tenants[0].priority" },
  { "", R"([{"name":"a","apiKeys":["s3cret"],"ratePerS":"x"}])", "tenants[0].ratePerS" },
  { "", R"([{"name":"a","apiKeys":["s3cret"],"burst":-1}])", "tenants[0].burst" },
  { "", R"([{"name":"a","apiKeys":["s3cret)", "read" },
};

BOOST_DATA_TEST_CASE(errors_of_invalid_teams_name_the_field_and_no_key, kInvalidTeams, change)
{
  const auto parsed = platform::ConfigFormat::Parse(WithTeams(change.newText));
  BOOST_REQUIRE(!parsed.has_value());
  const std::string& message = parsed.error().message;
  BOOST_TEST(message.find(change.expectedInError) != std::string::npos, message);
  BOOST_TEST(message.find("s3cret") == std::string::npos, message);
}

// Guards against: the document of a node contains a key, or has other teams than that of the operator.
BOOST_AUTO_TEST_CASE(a_redacted_configuration_has_the_same_teams_and_no_key)
{
  const std::string document = WithTeams(kTeams);
  const auto redacted = platform::ConfigFormat::RedactKeys(document);
  BOOST_REQUIRE(redacted.has_value());
  BOOST_TEST(redacted->find("s3cret") == std::string::npos);
  const Configuration original = platform::ConfigFormat::Parse(document).value();
  const Configuration parsed = platform::ConfigFormat::Parse(*redacted).value();
  BOOST_TEST((parsed.teamByKeyDigest == original.teamByKeyDigest));
  BOOST_TEST(parsed.teams.at("till").requestsPerSecond == 12.5);
  BOOST_TEST(parsed.routes.size() == original.routes.size());
  BOOST_TEST(parsed.callerLimits.maxBodyBytes == original.callerLimits.maxBodyBytes);
  BOOST_TEST(!platform::ConfigFormat::RedactKeys(kConfigurationDocument).has_value());
  // A repeated member is ignored by Parse(), but its keys must not reach a node either.
  const auto repeated = platform::ConfigFormat::RedactKeys(ReplaceText(
    document, "\"limits\"", R"("tenants":[{"apiKeys":["s3cret-4"],"apiKeys":["s3cret-5"]}],"limits")"));
  BOOST_TEST(repeated->find("s3cret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_key_of_a_caller_is_replaced_by_the_name_of_its_team)
{
  const HttpHeaders sent{ { .name = "Authorization", .value = "Bearer s3cret-1" },
                          { .name = "Tenant", .value = "forged" } };
  const HttpRequest request{ .method = "GET", .headers = sent };
  BOOST_TEST(platform::CallerProtocol::ReadOptions(request).credential == "s3cret-1");
  HttpHeaders headers = sent;
  platform::CallerProtocol::SetTeam(headers, "till");
  BOOST_TEST(headers.size() == 1u);
  BOOST_TEST(FindHeader(headers, "Tenant") == "till");
  headers = sent;
  platform::CallerProtocol::SetTeam(headers, "");
  BOOST_TEST(headers.empty());
}

BOOST_AUTO_TEST_CASE(forged_headers_of_a_caller_do_not_reach_a_target)
{
  HttpHeaders headers{ { .name = "Caller-Service", .value = "forged" },
                       { .name = "Expected-Instance", .value = "forged" },
                       { .name = "Request-Id", .value = "1" } };
  platform::CallerProtocol::PrepareForTarget(headers, "books");
  BOOST_TEST(FindHeader(headers, "Caller-Service") == "books");
  BOOST_TEST(!HasHeader(headers, "Expected-Instance"));
  platform::TargetProtocol::Prepare(headers,
                                    { .callId = "1", .targetName = "i-1", .timeLeft = milliseconds(70) });
  BOOST_TEST(FindHeader(headers, "Expected-Instance") == "i-1");
  BOOST_TEST(FindHeader(headers, "Timeout-Ms") == "70");
}

BOOST_AUTO_TEST_CASE(retry_after_is_sent_only_if_the_request_did_not_run)
{
  const HttpResponse rejected = platform::CallerProtocol::Refuse(
    { .status = 503, .reason = "busy", .callId = "1", .retryAfter = milliseconds(250) });
  BOOST_TEST(FindHeader(rejected.headers, "Retry-After") == "0.250");
  BOOST_TEST(FindHeader(rejected.headers, "Request-Id") == "1");
  const HttpResponse unknown = platform::CallerProtocol::Refuse(
    { .status = 502, .outcome = CallOutcome::Unknown, .reason = "cut", .retryAfter = milliseconds(250) });
  BOOST_TEST(!HasHeader(unknown.headers, "Retry-After"));
}

BOOST_AUTO_TEST_CASE(only_a_signed_response_to_the_same_call_is_usable)
{
  const TargetCall call{ .callId = "7", .targetName = "i-1" };
  const auto classify = [&](int aStatus, HttpHeaders aHeaders) {
    return platform::TargetProtocol::ClassifyResponse({ .status = aStatus, .headers = std::move(aHeaders) },
                                                      call);
  };
  const HttpHeader id{ .name = "Request-Id", .value = "7" };
  const HttpHeader signature{ .name = "Response-Signature", .value = "s" };
  BOOST_TEST((classify(200, { id, signature }) == TargetResponseKind::Usable));
  BOOST_TEST((classify(500, { id, signature }) == TargetResponseKind::Usable));
  BOOST_TEST((classify(200, { id }) == TargetResponseKind::Unusable));
  BOOST_TEST((classify(200, { signature }) == TargetResponseKind::Unusable));
  BOOST_TEST((classify(200, { id, signature, { .name = "Content-Encoding", .value = "gzip" } }) ==
              TargetResponseKind::Unusable));
  BOOST_TEST(
    (classify(200, { { .name = "Request-Id", .value = "8" }, signature }) == TargetResponseKind::OtherCall));
  BOOST_TEST((classify(503, { id, { .name = "Not-Executed", .value = "1" } }) == TargetResponseKind::NotRun));
  BOOST_TEST((classify(421, { id }) == TargetResponseKind::OtherTarget));
}

// Guards against: a caller is told "not run" because a late copy of an earlier refusal was taken for its own.
BOOST_AUTO_TEST_CASE(a_refusal_counts_only_for_the_call_that_it_names)
{
  const TargetCall call{ .callId = "7", .targetName = "i-1" };
  const HttpHeader notRun{ .name = "Not-Executed", .value = "1" };
  for (const int status : { 503, 429, 421, 400 }) {
    const HttpResponseHead ofOtherCall{ .status = status,
                                        .headers = { { .name = "Request-Id", .value = "6" }, notRun } };
    BOOST_TEST(
      (platform::TargetProtocol::ClassifyResponse(ofOtherCall, call) == TargetResponseKind::OtherCall));
    const HttpResponseHead ofNoCall{ .status = status, .headers = { notRun } };
    BOOST_TEST((platform::TargetProtocol::ClassifyResponse(ofNoCall, call) == TargetResponseKind::Unusable));
  }
  HttpResponseHead native{ .status = 503,
                           .headers = { { .name = "Mimosarun-Outcome", .value = "not-run" } } };
  BOOST_TEST((NativeTargetProtocol::ClassifyResponse(native, call) == TargetResponseKind::Unusable));
  native.headers.push_back({ .name = "Mimosarun-Call", .value = "7" });
  BOOST_TEST((NativeTargetProtocol::ClassifyResponse(native, call) == TargetResponseKind::NotRun));
}

BOOST_AUTO_TEST_CASE(an_invalid_heartbeat_is_rejected)
{
  const std::string valid =
    R"({"service":"books","address":"10.0.0.9:8080","zone":"z","version":"v1","capacity":6,
    "state":"ready","warmupLeft":"3s","seq":4,"born":1700000000000})";
  const auto report = platform::ParseHeartbeat("i-1", valid);
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().state.slots == 6);
  BOOST_TEST((report.value().sequence == 4));
  BOOST_TEST((report.value().startedAtMillis == 1700000000000));
  BOOST_TEST((report.value().state.phase == wire::TargetPhase::Ready));
  BOOST_TEST(report.value().state.version == "v1");
  const auto zero =
    platform::ParseHeartbeat("i-1", ReplaceText(ReplaceText(valid, ":4,", ":0,"), "1700000000000", "0"));
  BOOST_REQUIRE(zero.has_value());
  BOOST_TEST((zero.value().sequence == 0));
  BOOST_TEST((zero.value().startedAtMillis == 0));
  const auto withoutStart =
    platform::ParseHeartbeat("i-1", ReplaceText(valid, ",\"born\":1700000000000", ""));
  BOOST_REQUIRE(withoutStart.has_value());
  BOOST_TEST(!withoutStart.value().startedAtMillis.has_value());
  const auto withoutVersion = platform::ParseHeartbeat("i-1", ReplaceText(valid, "\"version\":\"v1\",", ""));
  BOOST_REQUIRE(withoutVersion.has_value());
  BOOST_TEST(withoutVersion.value().state.version.empty());
  const std::string longVersion = "\"" + std::string(201, 'v') + "\"";
  BOOST_TEST(!platform::ParseHeartbeat("i-1", ReplaceText(valid, "\"v1\"", longVersion)).has_value());
  for (const char* invalid : { R"("capacity":"6")", R"("capacity":0)" }) {
    BOOST_TEST(!platform::ParseHeartbeat("i-1", ReplaceText(valid, R"("capacity":6)", invalid)).has_value());
  }
  BOOST_TEST(!platform::ParseHeartbeat("i-1", ReplaceText(valid, "\"ready\"", "\"asleep\"")).has_value());
  BOOST_TEST(!platform::ParseHeartbeat("i-1", ReplaceText(valid, "\"seq\":4,", "")).has_value());
  BOOST_TEST(!platform::ParseHeartbeat("i-1", "\xff\xfe").has_value());
}

// An odd entry of another writer ended the processes that read it, or they read no further ones.
BOOST_AUTO_TEST_CASE(an_odd_heartbeat_is_refused_and_the_next_one_is_read)
{
  const std::string valid =
    R"({"service":"books","address":"10.0.0.9:8080","zone":"z","version":"v1","capacity":6,
    "state":"ready","warmupLeft":"3s","seq":4,"born":1700000000000})";
  const std::string nested = std::string(500000, '[') + std::string(500000, ']');
  for (const std::string& odd : { ReplaceText(valid, R"("capacity":6)", R"("capacity":1e999)"),
                                  ReplaceText(valid, R"("capacity":6)", R"("capacity":6.5)"),
                                  ReplaceText(valid, R"("capacity":6)", R"("capacity":99999999999999999999)"),
                                  ReplaceText(valid, R"("capacity":6)", "\"capacity\":" + nested),
                                  ReplaceText(valid, R"("seq":4)", R"("seq":18446744073709551616)"),
                                  ReplaceText(valid, R"("born":1700000000000)", R"("born":-1e400)"),
                                  ReplaceText(valid, "\"3s\"", "\"99999999999s\""),
                                  ReplaceText(valid, "\"3s\"", "\"3000000s\""),
                                  ReplaceText(valid, ":8080", ":65536"),
                                  ReplaceText(valid, ":8080", ":0"),
                                  ReplaceText(valid, ":8080", ":-1"),
                                  ReplaceText(valid, ":8080", ":99999999999999999999"),
                                  nested,
                                  "{\"x\":" + nested }) {
    BOOST_TEST(!platform::ParseHeartbeat("i-1", odd).has_value(), odd.substr(0, 200));
    BOOST_TEST(platform::ParseHeartbeat("i-1", valid).has_value());
  }
  // What isn't read may be nested.
  BOOST_TEST(
    platform::ParseHeartbeat("i-1", ReplaceText(valid, "\"zone\":\"z\"", "\"zone\":" + nested)).has_value());
}

BOOST_AUTO_TEST_CASE(durations_need_a_unit_and_versions_a_number)
{
  BOOST_TEST((platform::ParseDuration("2.5s").value() == milliseconds(2500)));
  BOOST_TEST((platform::ParseDuration("0ms").value() == milliseconds(0)));
  for (const char* invalid : { "5", "ms", "-1s", "1 s", "1h", "nans" }) {
    BOOST_TEST(!platform::ParseDuration(invalid).has_value(), invalid);
  }
  BOOST_TEST(platform::ParseVersion("r12").value() == 12);
  BOOST_TEST(platform::ParseVersion("0").value() == 0);
  for (const char* invalid : { "", "r", "r1x", "v3", "r-1" }) {
    BOOST_TEST(!platform::ParseVersion(invalid).has_value(), invalid);
  }
}

// Guards against: a document that the parser takes ends each process that writes it anew for the nodes.
BOOST_AUTO_TEST_CASE(a_deeply_nested_document_is_redacted_without_recursion)
{
  constexpr size_t kLevels = 500000;
  const std::string lists = std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string objects;
  for (size_t level = 0; level < kLevels; ++level) {
    objects += "{\"a\":";
  }
  objects += "1" + std::string(kLevels, '}');
  for (const std::string& nested : { lists, objects }) {
    for (const std::string& place : { std::string("\"limits\":"), std::string("{\"name\":\"till\",") }) {
      const bool isInTeam = place.front() == '{';
      const std::string member =
        isInTeam ? place + "\"note\":" + nested + "," : "\"note\":" + nested + "," + place;
      const std::string document = ReplaceText(WithTeams(kTeams), place, member);
      const auto redacted = platform::ConfigFormat::RedactKeys(document);
      BOOST_REQUIRE(redacted.has_value());
      BOOST_TEST(redacted->find("s3cret") == std::string::npos);
      BOOST_TEST(redacted->find(nested) != std::string::npos);
      BOOST_TEST(platform::ParseDocumentVersion(document).value() == 7);
    }
  }
}

// Guards against: an order costs a replica more memory than it has, or later readers more stack.
BOOST_AUTO_TEST_CASE(a_document_beyond_the_limits_is_refused_by_name)
{
  const auto messageFor = [](const std::string& aValue) {
    const auto checked = platform::CheckLimits("{\"a\":" + aValue + "}");
    return checked ? std::string() : checked.error().message;
  };
  BOOST_TEST(messageFor(std::string(63, '[') + std::string(63, ']')).empty());
  BOOST_TEST(messageFor(std::string(64, '[') + std::string(64, ']')).find("64 levels") != std::string::npos);
  BOOST_TEST(messageFor(std::string(1000000, '[')).find("64 levels") != std::string::npos);
  std::string wide = "[0";
  for (int value = 0; value < 1000000; ++value) {
    wide += ",0";
  }
  BOOST_TEST(messageFor(wide + "]").find("250000 values") != std::string::npos);
  BOOST_TEST(!platform::ParseRolloutOrder("{\"a\":" + wide + "]}").has_value());
}

BOOST_AUTO_TEST_CASE(a_version_is_read_from_the_outermost_object_only)
{
  BOOST_TEST(platform::ParseDocumentVersion("{\"a\":{\"version\":\"r1\"},\"version\":\"r2\"}").value() == 2);
  for (const char* const without :
       { "{\"version\":3}", "{\"version\":{\"version\":\"r1\"}}", "[\"version\"]", "" }) {
    BOOST_TEST(!platform::ParseDocumentVersion(without).has_value(), without);
  }
}

BOOST_AUTO_TEST_CASE(deep_nesting_and_invalid_utf8_are_errors)
{
  const std::string deeplyNested = "{\"routes\":" + std::string(1000000, '[');
  BOOST_TEST(!platform::ConfigFormat::Parse(deeplyNested).has_value());
  BOOST_TEST(
    !platform::ConfigFormat::Parse("{\"version\":\"r1\xff\",\"routes\":[],\"services\":[]}").has_value());
  BOOST_TEST(
    !platform::ConfigFormat::Parse("{\"version\":\"r1\",\"routes\":[],\"services\":[]} x").has_value());
}

BOOST_AUTO_TEST_CASE(a_target_names_the_rate_that_it_accepts)
{
  const auto rateOf = [](const std::string& aText) {
    const HttpResponseHead head{ .status = 200, .headers = { { .name = "Server-Limit", .value = aText } } };
    return platform::TargetProtocol::ReadNotice(head).requestsPerSecond;
  };
  BOOST_TEST((rateOf("7.4") == 7.4));
  BOOST_TEST((rateOf("12") == 12.0));
  for (const char* const unreadable : { "", "-1", "nan", "inf", "7.4x", "many" }) {
    BOOST_TEST(!rateOf(unreadable).has_value(), unreadable);
  }
  BOOST_TEST(!platform::TargetProtocol::ReadNotice({ .status = 200, .headers = {} }).requestsPerSecond);
}

BOOST_AUTO_TEST_CASE(a_target_says_that_it_leaves)
{
  const auto isLeaving = [](const HttpHeaders& aHeaders) {
    return platform::TargetProtocol::ReadNotice({ .status = 200, .headers = aHeaders }).isLeaving;
  };
  BOOST_TEST(isLeaving({ { .name = "server-leaving", .value = "1" } }));
  BOOST_TEST(!isLeaving({ { .name = "Server-Leaving", .value = "0" } }));
  BOOST_TEST(!isLeaving({}));
}
