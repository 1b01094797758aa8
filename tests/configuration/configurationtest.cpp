#define BOOST_TEST_MODULE configuration
#include "configuration/configuration.h"

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
};

BOOST_DATA_TEST_CASE(errors_of_an_invalid_document_name_the_location,
                     boost::unit_test::data::make(kInvalidDocuments),
                     document)
{
  const auto parsed = ParseConfiguration(document.text, "file", DocumentOrigin::Operator);
  BOOST_REQUIRE(!parsed);
  BOOST_TEST(parsed.error().message.find(document.expectedInError) != std::string::npos,
             parsed.error().message);
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
