#define BOOST_TEST_MODULE configuration
#include "configuration/configuration.h"
#include "common/digest.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace mimosarun;

/** An invalid document and a text that the error message must contain. */
struct InvalidDocument
{
  const char* text;
  const char* expectedInError;
};

static std::ostream&
operator<<(std::ostream& aStream, const InvalidDocument& aDocument)
{
  return aStream << aDocument.expectedInError;
}

static const InvalidDocument kInvalidDocuments[] = {
  { R"({"services":{"a":{"homeRegion":"x"}},"routes":{"r":{"pathPrefix":"/","service":"b"}}})",
    "file.routes.r.service" },
  { R"({"services":{"a":{"homeRegion":"x"}},"routes":{"r":{"pathPrefix":"/","service":"a","limit":"l"}}})",
    "file.routes.r.limit" },
  { R"({"services":{"a":{"homeRegion":"x","slot":3}}})", "file.services.a.slot" },
  { R"({"services":{"a":{"homeRegion":7}}})", "file.services.a.homeRegion" },
  { R"({"services":{"a":{"homeRegion":"x"},"a":{"homeRegion":"y"}}})", "'a' occurs twice" },
  { R"({"limits":{"l":{"maxInFlight":0}}})", "file.limits.l.maxInFlight" },
  { "{\n  /* a comment left open\n", "line" },
  { "{\n  \"services\": ]\n", "line 2" },
  { R"({"services":[]})", "file.services" },
  { "[]", "file: must be an object" },
  { R"({"targets":{"t":{"intent":"draining"}}})", "file.targets" },
  { R"({"services":{"a":{"homeRegion":"x"}},"routes":{"r":{"pathPrefix":"/","service":"a"},"q":{"pathPrefix":"/","service":"a"}}})",
    "matches the same" },
  { R"({"services":{"a":{"homeRegion":"x"}},"routes":{"r":{"pathPrefix":"/","service":"a","hedgeAfterMs":5}}})",
    "hedgeAfterMs" },
  { R"({"teams":[]})", "file.teams" },
  { R"({"teams":null})", "file.teams" },
  { R"({"teams":{"":{"keys":["s3cret"]}}})", "the name of a team must not be empty" },
  { R"({"teams":{" a":{"keys":["s3cret"]}}})", "can't be sent in a header" },
  { R"({"teams":{"a":{"keys":["s3cret"]},"a":{}}})", "'a' occurs twice" },
  { R"({"teams":{"a":{"keys":["s3cret"]},"b":{"keys":["other","s3cret"]}}})", "teams 'a' and 'b'" },
  { R"({"teams":{"a":{"keys":[""]}}})", "file.teams.a.keys" },
  { R"({"teams":{"a":{"keys":"s3cret"}}})", "file.teams.a.keys" },
  { R"({"teams":{"a":{"keys":["s3cret",7]}}})", "file.teams.a.keys" },
  { R"({"teams":{"a":{"keys":["s3cret"],"priority":-1}}})", "file.teams.a.priority" },
  { R"({"teams":{"a":{"keys":["s3cret"],"requestsPerSecond":-0.5}}})", "file.teams.a.requestsPerSecond" },
  { R"({"teams":{"a":{"keys":["s3cret"],"burst":"many"}}})", "file.teams.a.burst" },
  { R"({"teams":{"a":{"keys":["s3cret"],"rate":1}}})", "file.teams.a.rate" },
  { R"({"teams":{"a":{"keys":["s3cret]}}})", "line 1" },
  { R"({"teams":{"a":{"keys":["s3cret" "s3cret"]}}})", "line 1" },
  { R"({"teams":{"a":{"keys":["\x s3cret"]}}})", "line 1" },
  { R"({"routes":{"r":{"pathPrefix":"/","service":"a","public":1}},"services":{"a":{}}})",
    "file.routes.r.public" },
};

BOOST_DATA_TEST_CASE(errors_of_an_invalid_document_name_the_location,
                     boost::unit_test::data::make(kInvalidDocuments),
                     document)
{
  const auto parsed = ParseConfiguration(document.text, "file", DocumentOrigin::Operator);
  BOOST_REQUIRE(!parsed);
  BOOST_TEST(parsed.error().message.find(document.expectedInError) != std::string::npos,
             parsed.error().message);
  // Guards against: a message, which is also logged, shows a key of the document.
  BOOST_TEST(parsed.error().message.find("s3cret") == std::string::npos, parsed.error().message);
}

BOOST_AUTO_TEST_CASE(a_document_that_is_too_large_is_rejected)
{
  const std::string text(5UL * 1024 * 1024, ' ');
  BOOST_TEST(!ParseConfiguration(text, "file", DocumentOrigin::Operator));
}

BOOST_AUTO_TEST_CASE(the_route_with_the_longest_matching_prefix_is_found)
{
  const auto configuration = ParseConfiguration(R"({
    // Comments are allowed.
    "services": { "a": { "homeRegion": "x" } },
    "routes": {
      "all": { "pathPrefix": "/", "service": "a" },
      "book": { "pathPrefix": "/a/book", "methods": ["POST"], "service": "a" },
      "host": { "host": "h", "pathPrefix": "/a/", "service": "a" }
    } })",
                                                "file",
                                                DocumentOrigin::Operator);
  BOOST_REQUIRE(configuration);
  BOOST_TEST(FindRoute(configuration.value(), "", "/a/book/1", "POST")->name == "book");
  BOOST_TEST(FindRoute(configuration.value(), "", "/a/book/1", "GET")->name == "all");
  BOOST_TEST(FindRoute(configuration.value(), "h", "/a/x", "GET")->name == "host");
  BOOST_TEST(FindRoute(configuration.value(), "h", "nothing", "GET") == nullptr);
}

static const char* const kTeams = R"({"services":{"a":{}},
  "routes":{"r":{"pathPrefix":"/","service":"a"},"p":{"pathPrefix":"/p/","service":"a","public":true}},
  "teams":{"till":{"keys":["s3cret-1","s3cret-2"],"priority":0,"requestsPerSecond":2.5,"burst":10},
           "desk":{"keys":["s3cret-3"]},"new":{}}})";

BOOST_AUTO_TEST_CASE(teams_and_public_routes_are_read)
{
  const auto parsed = NativeFormat::Parse(kTeams);
  BOOST_REQUIRE(parsed);
  const Configuration& configuration = parsed.value();
  BOOST_TEST(configuration.hasTeams);
  BOOST_TEST(configuration.teams.size() == 3u);
  BOOST_TEST(configuration.teams.at("till").requestsPerSecond == 2.5);
  BOOST_TEST(configuration.teams.at("till").burst == 10);
  BOOST_TEST(configuration.teams.at("till").priority == 0);
  BOOST_TEST(configuration.teams.at("desk").priority == 1);
  BOOST_TEST(configuration.teamByKeyDigest.size() == 3u);
  BOOST_TEST(configuration.teamByKeyDigest.at(Sha256("s3cret-2")) == "till");
  BOOST_TEST(FindRoute(configuration, "", "/p/x", "GET")->isPublic);
  BOOST_TEST(!FindRoute(configuration, "", "/x", "GET")->isPublic);
}

BOOST_AUTO_TEST_CASE(an_empty_object_of_teams_means_that_keys_are_needed)
{
  BOOST_TEST(NativeFormat::Parse(R"({"teams":{}})").value().hasTeams);
  BOOST_TEST(!NativeFormat::Parse(R"({"services":{"teams":{}}})").value().hasTeams);
}

// Guards against: the document of a node contains a key, or has other teams than that of the operator.
BOOST_AUTO_TEST_CASE(a_redacted_document_has_the_same_teams_and_no_key)
{
  const auto redacted = NativeFormat::RedactKeys(kTeams);
  BOOST_REQUIRE(redacted);
  BOOST_TEST(redacted->find("s3cret") == std::string::npos);
  const Configuration original = NativeFormat::Parse(kTeams).value();
  const Configuration parsed = NativeFormat::Parse(*redacted).value();
  BOOST_TEST((parsed.teamByKeyDigest == original.teamByKeyDigest));
  BOOST_TEST(parsed.teams.at("till").requestsPerSecond == 2.5);
  BOOST_TEST(FindRoute(parsed, "", "/p/x", "GET")->isPublic);
}

BOOST_AUTO_TEST_CASE(a_key_that_looks_like_a_digest_stays_a_key)
{
  const std::string key = "sha256:" + Sha256("x");
  const auto redacted = NativeFormat::RedactKeys(R"({"teams":{"a":{"keys":[")" + key + R"("]}}})");
  BOOST_REQUIRE(redacted);
  BOOST_TEST(NativeFormat::Parse(*redacted).value().teamByKeyDigest.contains(Sha256(key)));
}

BOOST_AUTO_TEST_CASE(a_document_without_teams_is_not_redacted)
{
  BOOST_TEST(!NativeFormat::RedactKeys(R"({"services":{"a":{}}})"));
  BOOST_TEST(!NativeFormat::RedactKeys(R"({"services":{"teams":{}}})"));
  BOOST_TEST(!NativeFormat::RedactKeys(R"({"services":{"\u0061":{}}})"));
  BOOST_TEST(NativeFormat::RedactKeys(R"({"\u0074eams":{"a":{"keys":["s3cret"]}}})")->find("s3cret") ==
             std::string::npos);
}
