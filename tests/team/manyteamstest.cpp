#define BOOST_TEST_MODULE manyteams
#include "common/clock.h"
#include "control/nodeupdates.h"
#include "team/credentialcheck.h"

#include <boost/test/unit_test.hpp>

#include <malloc.h>

using namespace mimosarun;

static constexpr int kTeams = 5000;
static constexpr int kKeysPerTeam = 2;

static std::string
KeyOf(int aTeam, int aKey, int aGeneration)
{
  return "key-" + std::to_string(aTeam) + "-" + std::to_string(aKey) + "-" + std::to_string(aGeneration);
}

/** Returns a document in which the keys of the first teams, a few or all, are of a later generation. */
static std::string
MakeDocument(int aChangedTeams)
{
  std::string teams;
  for (int team = 0; team < kTeams; ++team) {
    std::string keys;
    for (int key = 0; key < kKeysPerTeam; ++key) {
      keys += (key == 0 ? "\"" : ",\"") + KeyOf(team, key, team < aChangedTeams ? 1 : 0) + "\"";
    }
    teams += (team == 0 ? "\"" : ",\"") + std::string("team-") + std::to_string(team) + "\":{\"keys\":[" +
             keys + R"(],"priority":2,"requestsPerSecond":25.5,"burst":50})";
  }
  return "{\"teams\":{" + teams + "}}";
}

static std::chrono::microseconds
Since(Deadline aStart)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - aStart);
}

// Guards against: the removal of a key sends the digests of all teams to each node.
BOOST_AUTO_TEST_CASE(a_removed_key_of_thousands_of_teams_is_a_small_update)
{
  UpdateHistory history;
  const SnapshotPointer first = MakeValidatedSnapshot(1, MakeDocument(0));
  const SnapshotPointer second = MakeValidatedSnapshot(2, MakeDocument(1));
  history.Add(*first);
  history.Add(*second);
  NodeUpdates updates(RedactorOf<NativeFormat>());
  const Deadline start = SteadyClock::now();
  const wire::ConfigurationUpdate delta = updates.UpdateFrom(1, *second, history);
  BOOST_TEST_MESSAGE("update made in " << Since(start).count() << " us");
  const wire::ConfigurationUpdate full = updates.UpdateFrom(-1, *second, history);
  BOOST_TEST_MESSAGE("document " << second->text.size() << " bytes, full update " << full.payload.size()
                                 << " bytes, change of one team " << delta.payload.size() << " bytes");
  BOOST_TEST(!delta.whole);
  BOOST_TEST(delta.payload.size() < 2048);
}

// Guards against: each request costs more, or a node needs much more memory, the more teams there are.
BOOST_AUTO_TEST_CASE(thousands_of_teams_cost_little_memory_and_time)
{
  const std::string redacted = *NativeFormat::RedactKeys(MakeDocument(0));
  const size_t before = mallinfo2().uordblks;
  Deadline start = SteadyClock::now();
  const Configuration configuration = NativeFormat::Parse(redacted).value();
  const auto parseTime = Since(start);
  const size_t bytes = mallinfo2().uordblks - before;
  static constexpr int kLookUps = 20000;
  start = SteadyClock::now();
  int accepted = 0;
  for (int i = 0; i < kLookUps; ++i) {
    const std::string key = KeyOf(i % kTeams, i % kKeysPerTeam, 0);
    const CredentialDecision decision = CheckCredential(configuration, Route{}, key, true);
    accepted += decision.verdict == CredentialVerdict::Accepted ? 1 : 0;
  }
  const auto lookUpTime = Since(start) / kLookUps;
  BOOST_TEST_MESSAGE("parsed in " << parseTime.count() << " us, " << bytes << " bytes, look-up "
                                  << lookUpTime.count() << " us");
  BOOST_TEST(accepted == kLookUps);
  BOOST_TEST(bytes < 16UL * 1024 * 1024);
  BOOST_TEST(lookUpTime.count() < 50);
}
