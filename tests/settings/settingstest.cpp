#define BOOST_TEST_MODULE settings
#include "settings/jsonreader.h"
#include "settings/processsettings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace mimosarun;

static const std::string kValid = R"({
  // A control replica.
  "role": "control", "name": "c1", "region": "east", "failureDomain": "east-1",
  "peerAddress": "127.0.0.1:7000", "operatorAddress": "127.0.0.1:7003", "dataFolder": "data",
  "replicas": [{ "name": "c1", "region": "east", "failureDomain": "east-1", "address": "127.0.0.1:7000" }]
})";

/** A replacement that makes valid settings invalid, and a text that the error message must contain. */
struct InvalidChange
{
  const char* from;
  const char* to;
  const char* expectedInMessage;
};

static std::ostream&
operator<<(std::ostream& aStream, const InvalidChange& aChange)
{
  return aStream << aChange.expectedInMessage;
}

static const InvalidChange kInvalidChanges[] = {
  { "\"role\": \"control\"", "\"role\": \"boss\"", "file.role" },
  { "\"dataFolder\"", "\"dataFoldr\"", "file.dataFoldr" },
  { "\"dataFolder\": \"data\"", "\"dataFolder\": 3", "file.dataFolder" },
  { "127.0.0.1:7003", "localhost:7003", "file.operatorAddress" },
  { "127.0.0.1:7003", "127.0.0.1:0", "file.operatorAddress" },
  { "127.0.0.1:7003", "127.0.0.1:99999", "file.operatorAddress" },
  { "\"dataFolder\"", "\"heartbeatMs\": 500, \"dataFolder\"", "file.electionTimeoutMs" },
  { "// A control replica.", "/* A control", "line" },
  { "\"region\": \"east\", \"failureDomain\": \"east-1\",\n",
    "\"failureDomain\": \"east-1\",\n",
    "file.region" },
};

BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
  const auto settings = ParseSettings(kValid, "file");
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings.value().replicas.size() == 1u);
  BOOST_TEST(settings.value().peerAddress.Text() == "127.0.0.1:7000");
}

BOOST_AUTO_TEST_CASE(strict_revocation_is_off_unless_the_settings_say_otherwise)
{
  BOOST_TEST(!ParseSettings(kValid, "file").value().revocation.isStrict);
  std::string text = kValid;
  const std::string added = "\"strictRevocation\": true, \"revocationBoundMs\": 3000, ";
  text.insert(text.find("\"dataFolder\""), added);
  const auto settings = ParseSettings(text, "file");
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings.value().revocation.isStrict);
  BOOST_TEST((settings.value().revocation.bound == std::chrono::milliseconds(3000)));
}

BOOST_DATA_TEST_CASE(invalid_settings_are_rejected_with_the_path_of_the_error,
                     boost::unit_test::data::make(kInvalidChanges),
                     change)
{
  std::string text = kValid;
  const size_t position = text.find(change.from);
  BOOST_REQUIRE(position != std::string::npos);
  text.replace(position, std::string(change.from).size(), change.to);
  const auto settings = ParseSettings(text, "file");
  BOOST_REQUIRE(!settings);
  BOOST_TEST(settings.error().message.find(change.expectedInMessage) != std::string::npos,
             settings.error().message);
}

// Guards against: a document that the parser takes is too deep for the code that writes or compares it.
BOOST_AUTO_TEST_CASE(deeply_nested_documents_are_rejected)
{
  constexpr size_t kLevels = 200000;
  const std::string lists = std::string(kLevels, '[') + std::string(kLevels, ']');
  for (const std::string& nested : { "{\"a\":" + lists + "}", std::string(kLevels, '['), lists }) {
    const auto document = ParseJson(nested, "file");
    BOOST_REQUIRE(!document);
    BOOST_TEST(document.error().message.find("nested more than 64 levels") != std::string::npos);
  }
}
