#define BOOST_TEST_MODULE states
#include "common/compression.h"
#include "common/digest.h"
#include "control/claimstate.h"
#include "control/configurationstate.h"
#include "control/groupplan.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>

using namespace mimosarun;

static const char* const kDocument = R"({"services":{"books":{"homeRegion":"east"}},
  "routes":{"read":{"pathPrefix":"/books","service":"books","idempotent":true}}})";

static wire::LogEntry
MakeEntry(wire::CommandKind::type aKind)
{
  wire::LogEntry entry;
  entry.command.kind = aKind;
  return entry;
}

static wire::CommandResult
Propose(ConfigurationState& aState, int64_t aBase, const std::string& aRequest = "")
{
  wire::LogEntry entry = MakeEntry(wire::CommandKind::Propose);
  entry.command.basedOn = aBase;
  entry.command.body = Compress(kDocument);
  entry.command.requestId = aRequest;
  return aState.Apply(entry);
}

static wire::CommandResult
Accept(ConfigurationState& aState,
       int64_t aProposal,
       const std::string& aAuthor,
       const std::string& aRequest = "")
{
  wire::LogEntry entry = MakeEntry(wire::CommandKind::Accept);
  entry.command.proposal = aProposal;
  entry.command.author = aAuthor;
  entry.command.requestId = aRequest;
  return aState.Apply(entry);
}

BOOST_AUTO_TEST_CASE(a_second_proposal_for_the_same_version_is_refused_naming_the_first_author)
{
  ConfigurationState state;
  const int64_t first = Propose(state, 0).proposal;
  const int64_t second = Propose(state, 0).proposal;
  BOOST_TEST(Accept(state, first, "anna").version == 1);
  const wire::CommandResult refused = Accept(state, second, "bert");
  BOOST_TEST(refused.code == wire::ResultCode::StaleBase);
  BOOST_TEST(refused.message.find("anna") != std::string::npos);
  BOOST_TEST(state.Current()->version == 1);
}

BOOST_AUTO_TEST_CASE(a_retried_command_gets_its_first_result)
{
  ConfigurationState state;
  const int64_t proposal = Propose(state, 0, "p").proposal;
  BOOST_TEST(Propose(state, 0, "p").proposal == proposal);
  BOOST_TEST(Accept(state, proposal, "anna", "a").version == 1);
  BOOST_TEST(Accept(state, proposal, "anna", "a").version == 1);
  BOOST_TEST(state.Current()->version == 1);
}

BOOST_AUTO_TEST_CASE(an_invalid_document_is_refused)
{
  ConfigurationState state;
  wire::LogEntry entry = MakeEntry(wire::CommandKind::Propose);
  entry.command.body = Compress(R"({"services":{},"routes":{"r":{"pathPrefix":"/x","service":"none"}}})");
  const wire::CommandResult refused = state.Apply(entry);
  BOOST_TEST(refused.code == wire::ResultCode::Invalid);
  BOOST_TEST(refused.message.find("proposal.routes.r.service") != std::string::npos);
  BOOST_TEST(state.Current()->version == 0);
}

BOOST_AUTO_TEST_CASE(target_states_survive_a_new_configuration_and_a_snapshot)
{
  ConfigurationState state;
  wire::LogEntry drain = MakeEntry(wire::CommandKind::SetTargetState);
  drain.command.target = "t1";
  drain.command.intent = wire::TargetIntent::Draining;
  BOOST_TEST(state.Apply(drain).version == 1);
  BOOST_TEST(Accept(state, Propose(state, 1).proposal, "anna").version == 2);
  ConfigurationState restored;
  BOOST_REQUIRE(restored.Restore(state.Image()));
  BOOST_TEST(restored.Current()->version == 2);
  BOOST_TEST(restored.Current()->hash == state.Current()->hash);
  BOOST_TEST((restored.Current()->configuration.targets.at("t1") == TargetIntent::Draining));
}

static wire::CommandResult
Replace(ConfigurationState& aState, int64_t aBase, int64_t aVersion, const std::string& aText)
{
  wire::LogEntry entry = MakeEntry(wire::CommandKind::Replace);
  entry.command.basedOn = aBase;
  entry.command.version = aVersion;
  entry.command.hash = Sha256(aText);
  const SnapshotPointer current = aState.Current();
  entry.command.delta = current->version == aBase;
  entry.command.body = entry.command.delta ? CompressDelta(aText, current->text) : Compress(aText);
  return aState.Apply(entry);
}

BOOST_AUTO_TEST_CASE(operators_choose_version_numbers_and_a_retried_command_is_acknowledged)
{
  ConfigurationState state;
  BOOST_TEST((Replace(state, 0, 5, "five").code == wire::ResultCode::Done));
  BOOST_TEST((Replace(state, 5, 9, "nine").code == wire::ResultCode::Done));
  BOOST_TEST(state.Current()->version == 9);
  // A retry after a later version was accepted is acknowledged and has no effect.
  BOOST_TEST((Replace(state, 0, 5, "five").code == wire::ResultCode::Done));
  BOOST_TEST(state.Current()->text == "nine");
  BOOST_TEST(state.WasAccepted(5, Sha256("five")));
  BOOST_TEST(!state.WasAccepted(5, Sha256("other")));
}

BOOST_AUTO_TEST_CASE(of_two_documents_with_one_version_number_the_second_is_refused)
{
  ConfigurationState state;
  Replace(state, 0, 5, "five");
  BOOST_TEST((Replace(state, 5, 7, "mine").code == wire::ResultCode::Done));
  BOOST_TEST((Replace(state, 5, 7, "yours").code == wire::ResultCode::StaleBase));
  BOOST_TEST((Replace(state, 7, 7, "again").code == wire::ResultCode::Invalid));
  BOOST_TEST((Replace(state, 7, 6, "lower").code == wire::ResultCode::Invalid));
  BOOST_TEST(state.Current()->text == "mine");
}

/** Returns a document of a version, with a team that has keys of the version, or without teams. */
static std::string
MakeDocument(int64_t aVersion, bool aHasTeams)
{
  const std::string number = std::to_string(aVersion);
  const std::string teams = R"(,"teams":{"till":{"keys":["s3cret-)" + number + R"(","s3cret-x"]}})";
  return R"({"limits":{"l":{"maxInFlight":)" + std::to_string(aVersion + 1) + "}}" +
         (aHasTeams ? teams : "") + "}";
}

// Guards against: a node gets a key, or its document differs between the replicas and paths by which it came.
RC_BOOST_PROP(nodes_get_the_same_redacted_documents_on_any_path, (const std::vector<bool>& aHasTeams))
{
  ConfigurationState state;
  std::vector<SnapshotPointer> held{ EmptySnapshot() };
  int64_t version = 0;
  for (const bool hasTeams : aHasTeams) {
    const std::string text = MakeDocument(version + 1, hasTeams);
    RC_ASSERT(Replace(state, version, version + 1, text).code == wire::ResultCode::Done);
    ++version;
    RC_ASSERT(state.HasTeams() == hasTeams);
    RC_ASSERT(state.Current()->text == text);
    ConfigurationState restored;
    RC_ASSERT(restored.Restore(state.Image()).has_value());
    // Each node holds another earlier version and takes its update from either replica.
    SnapshotPointer newest;
    for (const SnapshotPointer& node : held) {
      for (const ConfigurationState* replica : { &std::as_const(state), &std::as_const(restored) }) {
        const auto applied = ApplyUpdate(*node, replica->UpdateFrom(node->version));
        RC_ASSERT(applied.has_value());
        RC_ASSERT(applied.value()->text.find("s3cret") == std::string::npos);
        RC_ASSERT(applied.value()->configuration.hasTeams == hasTeams);
        RC_ASSERT(applied.value()->configuration.teamByKeyDigest.contains(
                    Sha256("s3cret-" + std::to_string(version))) == hasTeams);
        RC_ASSERT((newest == nullptr || newest->hash == applied.value()->hash));
        newest = applied.value();
      }
    }
    held.push_back(newest);
  }
}

BOOST_AUTO_TEST_CASE(documents_without_teams_are_distributed_as_they_are)
{
  ConfigurationState state;
  UpdateHistory history;
  for (int64_t version = 1; version <= 3; ++version) {
    Replace(state, version - 1, version, MakeDocument(version, false));
    history.Add(*state.Current());
    for (int64_t held = -1; held < version; ++held) {
      BOOST_TEST((state.UpdateFrom(held) == history.UpdateFrom(held, *state.Current())));
    }
  }
}

static wire::LogEntry
MakeClaimEntry(wire::CommandKind::type aKind, const std::string& aKey, const std::string& aToken)
{
  wire::LogEntry entry = MakeEntry(aKind);
  entry.command.key = aKey;
  entry.command.token = aToken;
  entry.command.status = 200;
  entry.command.body = "answer of " + aToken;
  return entry;
}

RC_BOOST_PROP(a_key_is_granted_to_one_token_until_it_is_released, (std::vector<uint8_t> aSteps))
{
  ClaimState state;
  std::map<std::string, std::string> holders;
  std::map<std::string, std::string> finished;
  for (const uint8_t step : aSteps) {
    const std::string key = "k" + std::to_string(step % 2);
    const std::string token = "t" + std::to_string(step / 2 % 3);
    const auto kind = static_cast<wire::CommandKind::type>(wire::CommandKind::Claim + step / 6 % 3);
    const wire::CommandResult result = state.Apply(MakeClaimEntry(kind, key, token));
    if (kind == wire::CommandKind::Claim && result.code == wire::ResultCode::Done) {
      RC_ASSERT(!finished.contains(key));
      if (holders.contains(key)) {
        RC_ASSERT(holders.at(key) == token);
      }
      holders[key] = token;
    } else if (kind == wire::CommandKind::Claim) {
      RC_ASSERT(holders.contains(key));
      RC_ASSERT(result.finished == finished.contains(key));
      if (result.finished) {
        RC_ASSERT(result.body == finished.at(key));
      }
    } else if (kind == wire::CommandKind::Complete && result.code == wire::ResultCode::Done) {
      RC_ASSERT(holders.at(key) == token);
      finished.emplace(key, "answer of " + token);
    } else if (kind == wire::CommandKind::Release && result.code == wire::ResultCode::Done) {
      RC_ASSERT(!finished.contains(key));
      holders.erase(key);
    }
    ClaimState restored;
    RC_ASSERT(restored.Restore(state.Image()).has_value());
    RC_ASSERT(restored.Size() == state.Size());
  }
}

BOOST_AUTO_TEST_CASE(a_key_used_for_another_request_is_refused)
{
  ClaimState state;
  wire::LogEntry first = MakeClaimEntry(wire::CommandKind::Claim, "k", "t1");
  first.command.fingerprint = "a";
  wire::LogEntry second = MakeClaimEntry(wire::CommandKind::Claim, "k", "t2");
  second.command.fingerprint = "b";
  BOOST_TEST(state.Apply(first).code == wire::ResultCode::Done);
  BOOST_TEST(state.Apply(second).code == wire::ResultCode::Invalid);
}

BOOST_AUTO_TEST_CASE(claim_groups_survive_the_loss_of_a_failure_domain_and_a_region_partition)
{
  std::vector<ReplicaSettings> replicas;
  for (const char* domain : { "a1", "a1", "a2", "a2", "b1", "b1", "b2" }) {
    const std::string name = "c" + std::to_string(replicas.size());
    replicas.push_back({ .name = name, .region = std::string(1, domain[0]), .failureDomain = domain });
  }
  for (const GroupPlan& plan : PlanGroups(replicas)) {
    const size_t quorum = plan.members.size() / 2 + 1;
    std::map<std::string, size_t> domains;
    size_t preferred = 0;
    for (const ReplicaSettings& member : plan.members) {
      ++domains[member.failureDomain];
      preferred += member.region == plan.preferredRegion ? 1 : 0;
    }
    for (const auto& [domain, count] : domains) {
      BOOST_TEST(plan.members.size() - count >= quorum, plan.name << " without " << domain);
    }
    if (!plan.preferredRegion.empty()) {
      BOOST_TEST(preferred >= quorum, plan.name << " cut off");
    }
  }
}
