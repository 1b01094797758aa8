#define BOOST_TEST_MODULE credentialcheck
#include "team/credentialcheck.h"
#include "common/digest.h"
#include "configuration/teamkeys.h"
#include "hop/hopheaders.h"
#include "team/bearertoken.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;

static Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.hasTeams = true;
  BOOST_REQUIRE(AddTeam(configuration, { .name = "till", .keyDigests = { Sha256("k-1"), Sha256("k-2") } }));
  BOOST_REQUIRE(AddTeam(configuration, { .name = "desk", .keyDigests = { Sha256("k-3") } }));
  return configuration;
}

BOOST_AUTO_TEST_CASE(each_key_leads_to_its_team)
{
  const Configuration configuration = MakeConfiguration();
  for (const auto& [key, team] :
       std::map<std::string, std::string>{ { "k-1", "till" }, { "k-2", "till" }, { "k-3", "desk" } }) {
    const CredentialDecision decision = CheckCredential(configuration, Route{}, key, true);
    BOOST_TEST((decision.verdict == CredentialVerdict::Accepted));
    BOOST_REQUIRE(decision.team != nullptr);
    BOOST_TEST(decision.team->name == team);
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_or_missing_key_is_refused)
{
  const Configuration configuration = MakeConfiguration();
  BOOST_TEST((CheckCredential(configuration, Route{}, "k-9", true).verdict == CredentialVerdict::UnknownKey));
  BOOST_TEST((CheckCredential(configuration, Route{}, "", true).verdict == CredentialVerdict::MissingKey));
  // Guards against: who reads the document of a node can use the digests in it as keys.
  const std::string digest = Sha256("k-1");
  for (const std::string& key : { digest, "sha256:" + digest }) {
    BOOST_TEST((CheckCredential(configuration, Route{}, key, true).verdict == CredentialVerdict::UnknownKey));
  }
}

// Guards against: a node that may lack a new key tells its caller that the key is unknown.
BOOST_AUTO_TEST_CASE(without_validity_nothing_is_said_about_the_key)
{
  const Configuration configuration = MakeConfiguration();
  for (const char* key : { "k-1", "k-9", "" }) {
    BOOST_TEST(
      (CheckCredential(configuration, Route{}, key, false).verdict == CredentialVerdict::NoValidity));
  }
}

BOOST_AUTO_TEST_CASE(public_routes_and_configurations_without_teams_need_no_key)
{
  Route route;
  route.isPublic = true;
  const CredentialDecision decision = CheckCredential(MakeConfiguration(), route, "k-1", false);
  BOOST_TEST((decision.verdict == CredentialVerdict::NotRequired));
  BOOST_TEST((decision.team == nullptr));
  BOOST_TEST(
    (CheckCredential(Configuration{}, Route{}, "k-9", false).verdict == CredentialVerdict::NotRequired));
}

BOOST_AUTO_TEST_CASE(an_empty_list_of_teams_accepts_no_key)
{
  Configuration configuration;
  configuration.hasTeams = true;
  BOOST_TEST((CheckCredential(configuration, Route{}, "k-1", true).verdict == CredentialVerdict::UnknownKey));
}

BOOST_AUTO_TEST_CASE(the_key_of_a_request_is_read)
{
  const auto read = [](const std::string& aValue) {
    return ReadBearerToken({ { .name = "authorization", .value = aValue } });
  };
  BOOST_TEST(read("Bearer k-1") == "k-1");
  BOOST_TEST(read("bearer   k-1 ") == "k-1");
  for (const char* value : { "", "Bearer", "Bearer ", "Basic k-1", "Bearerk-1", "k-1" }) {
    BOOST_TEST(read(value).empty(), value);
  }
  BOOST_TEST(ReadBearerToken({}).empty());
  BOOST_TEST(ReadBearerToken({ { .name = "Authorization", .value = "Bearer k-1" },
                               { .name = "Authorization", .value = "Bearer k-2" } })
               .empty());
}

// Guards against: one of several headers of the same name passes a key or a forged team's name to a target.
BOOST_AUTO_TEST_CASE(all_keys_and_names_of_teams_of_a_caller_are_replaced)
{
  const HttpHeaders forged{ { .name = "Authorization", .value = "Bearer k-1" },
                            { .name = "AUTHORIZATION", .value = "Bearer k-2" },
                            { .name = "X-Team", .value = "forged" },
                            { .name = "x-team", .value = "forged" },
                            { .name = "Accept", .value = "*/*" } };
  HttpHeaders headers = forged;
  ReplaceCredential(headers, "X-Team", "till");
  BOOST_TEST(headers.size() == 2u);
  BOOST_TEST(FindHeader(headers, "X-Team") == "till");
  headers = forged;
  ReplaceCredential(headers, "X-Team", "");
  BOOST_TEST(headers.size() == 1u);
}

// Guards against: the name of a team with a blank shifts the words of the header between entry and gate.
BOOST_AUTO_TEST_CASE(any_name_of_a_team_reaches_the_gate)
{
  for (const char* team : { "till", "the till", "100% \xC3\xA9t\xC3\xA9", "-", "%20" }) {
    HttpHeaders headers;
    WriteHop(headers, { .callId = "c", .service = "s", .route = "r", .team = team, .teamPriority = 3 });
    const std::optional<HopRequest> hop = ExtractHopRequest(headers);
    BOOST_REQUIRE(hop);
    BOOST_TEST(hop->team == team);
    BOOST_TEST(hop->teamPriority == 3);
    BOOST_TEST(hop->homeRegion.empty());
  }
}

BOOST_AUTO_TEST_CASE(teams_that_share_a_key_or_a_name_are_refused_by_their_names)
{
  Configuration configuration = MakeConfiguration();
  const auto shared = AddTeam(configuration, { .name = "third", .keyDigests = { Sha256("k-3") } });
  BOOST_REQUIRE(!shared);
  BOOST_TEST(shared.error().message.find("'desk' and 'third'") != std::string::npos);
  BOOST_TEST(shared.error().message.find(Sha256("k-3")) == std::string::npos);
  BOOST_TEST(!AddTeam(configuration, { .name = "till" }).has_value());
  BOOST_TEST(
    AddTeam(configuration, { .name = "fourth", .keyDigests = { Sha256("k"), Sha256("k") } }).has_value());
  for (const char* name : { "", " x", "x ", "a\nb", "\x7f" }) {
    BOOST_TEST(!CheckTeamName(name).has_value());
  }
}
