#define BOOST_TEST_MODULE raftproperties
#include "control/raftcore.h"

#include "control/membership.h"
#include "control/raftmessages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace mimosarun;

/** Several RaftCores with simulated time, disks, and a network that loses and duplicates messages. */
class FakeCluster
{
public:
  FakeCluster(int aSize, uint64_t aSeed)
    : m_random(aSeed)
  {
    std::vector<std::string> names;
    for (int i = 0; i < aSize; ++i) {
      names.push_back("r" + std::to_string(i));
    }
    m_members = MakeGroupOf(names).members;
    for (const wire::Replica& member : m_members) {
      Disk& disk = m_disks[member.name];
      disk.incarnation = 1;
      disk.state.snapshot.members = m_members;
      StartReplica(member.name);
    }
  }

  /** Runs one random step: time, a message, a restart, an isolated replica, a lost disk, a change of the
   * leader or a command. */
  void Step()
  {
    const auto choice = Random(100);
    if (choice < 45) {
      m_now += std::chrono::milliseconds(20);
      for (auto& [name, core] : m_cores) {
        core->Tick(m_now);
      }
    } else if (choice < 88) {
      DeliverOne();
    } else if (choice < 90) {
      StartReplica(RandomName());
    } else if (choice < 92) {
      m_isolated = Random(2) == 0 ? std::set<std::string>{} : std::set<std::string>{ RandomName() };
    } else if (choice < 93) {
      Compact(RandomName());
    } else if (choice < 94) {
      LoseDisk();
    } else if (choice < 95) {
      PromoteLearners();
    } else if (choice < 96) {
      m_cores[RandomName()]->HandOver(m_now);
    } else {
      Propose();
    }
    StoreAndSendAll();
    CheckSafety();
  }

  /** Ends the isolation and runs until a new command is committed; returns false if that takes too long. */
  bool RecoverAndCommit()
  {
    m_isolated.clear();
    for (int round = 0; round < 3000; ++round) {
      m_now += std::chrono::milliseconds(20);
      for (auto& [name, core] : m_cores) {
        core->Tick(m_now);
      }
      StoreAndSendAll();
      while (!m_network.empty()) {
        DeliverOne();
        StoreAndSendAll();
      }
      if (round % 50 == 0) {
        PromoteLearners();
      }
      const size_t committedBefore = m_committed.size();
      Propose();
      StoreAndSendAll();
      while (!m_network.empty()) {
        DeliverOne();
        StoreAndSendAll();
      }
      CheckSafety();
      if (m_committed.size() > committedBefore && round > 10) {
        return true;
      }
    }
    return false;
  }

private:
  /** State of a replica that survives a restart. */
  struct Disk
  {
    int64_t incarnation = 0;
    RaftState state;
  };

  uint64_t Random(uint64_t aBelow) { return m_random() % aBelow; }

  std::string RandomName() { return m_members[Random(m_members.size())].name; }

  void StartReplica(const std::string& aName)
  {
    const Disk& disk = m_disks[aName];
    RaftCore::Options options{
      .group = "g", .name = aName, .incarnation = disk.incarnation, .seed = m_random()
    };
    m_cores[aName] = std::make_unique<RaftCore>(std::move(options), disk.state, m_now);
  }

  /** Returns the leader of the highest term, or nullptr. */
  RaftCore* NewestLeader()
  {
    RaftCore* newest = nullptr;
    for (const auto& [name, core] : m_cores) {
      if (core->Role() == RaftRole::Leader && (newest == nullptr || core->Term() > newest->Term())) {
        newest = core.get();
      }
    }
    return newest;
  }

  /** Returns whether every replica is a caught-up voter under the incarnation of its current disk. */
  bool AllAreCaughtUpVoters(const RaftCore& aLeader)
  {
    return aLeader.IsMembershipCommitted() && aLeader.Members().size() == m_members.size() &&
           std::all_of(aLeader.Members().begin(), aLeader.Members().end(), [&](const wire::Replica& aMember) {
             const bool caughtUp = aMember.name == aLeader.Leader() || aLeader.IsCaughtUp(aMember.name);
             return aMember.voter && aMember.incarnation == m_disks[aMember.name].incarnation && caughtUp;
           });
  }

  /** Empties one disk, unless another one is still being restored: two losses may destroy the quorum. */
  void LoseDisk()
  {
    const std::string name = RandomName();
    RaftCore* leader = NewestLeader();
    if (leader == nullptr || leader->Leader() == name || !AllAreCaughtUpVoters(*leader)) {
      return;
    }
    m_disks[name] = { .incarnation = ++m_nextIncarnation, .state = {} };
    StartReplica(name);
  }

  void PromoteLearners()
  {
    for (const auto& [name, core] : m_cores) {
      if (core->Role() != RaftRole::Leader) {
        continue;
      }
      for (const wire::Replica& member : core->Members()) {
        const Disk& disk = m_disks[member.name];
        if (disk.incarnation != member.incarnation) {
          wire::Replica replica;
          replica.name = member.name;
          replica.incarnation = disk.incarnation;
          core->ProposeMembers(MembersWithLearner(core->Members(), replica), m_now);
          return;
        }
        if (!member.voter && core->IsCaughtUp(member.name)) {
          core->ProposeMembers(MembersWithPromoted(core->Members(), member.name), m_now);
          return;
        }
      }
    }
  }

  void Propose()
  {
    for (auto& [name, core] : m_cores) {
      wire::Command command;
      command.kind = wire::CommandKind::Claim;
      command.key = std::to_string(++m_nextCommand);
      core->Propose(command, m_now);
    }
  }

  void DeliverOne()
  {
    if (m_network.empty()) {
      return;
    }
    const size_t index = Random(m_network.size());
    const wire::RaftMessage message = m_network[index];
    if (Random(10) > 0) {
      m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (!m_isolated.contains(message.sender) && !m_isolated.contains(message.receiver)) {
      m_cores[message.receiver]->Receive(message, m_now);
    }
  }

  void Compact(const std::string& aName)
  {
    RaftCore& core = *m_cores[aName];
    StoreAndSendAll();
    if (core.AppliedIndex() > core.SnapshotIndex()) {
      Disk& disk = m_disks[aName];
      disk.state.snapshot = core.Compact("state");
      disk.state.entries = core.Entries();
    }
  }

  void StoreAndSendAll()
  {
    for (auto& [name, core] : m_cores) {
      RaftOutput output = core->TakeOutput();
      RaftState& disk = m_disks[name].state;
      disk.ballot = core->CurrentBallot();
      if (output.installedSnapshot) {
        disk.snapshot = *output.installedSnapshot;
        disk.entries.clear();
      }
      if (output.truncateFromIndex) {
        std::erase_if(disk.entries, [&](const wire::LogEntry& aEntry) {
          return aEntry.index >= *output.truncateFromIndex;
        });
      }
      disk.entries.insert(disk.entries.end(), output.newEntries.begin(), output.newEntries.end());
      if (!output.newEntries.empty()) {
        core->MarkPersisted(output.newEntries.back().index);
      }
      m_network.insert(m_network.end(), output.messages.begin(), output.messages.end());
      while (m_network.size() > 400) {
        m_network.pop_front();
      }
      Apply(*core);
    }
  }

  void Apply(RaftCore& aCore)
  {
    for (const wire::LogEntry& entry : aCore.TakeCommittedEntries()) {
      const auto [known, fresh] = m_committed.emplace(entry.index, entry);
      // State machine safety: no two replicas apply different commands at an index.
      RC_ASSERT(known->second.term == entry.term);
      RC_ASSERT(known->second.command.key == entry.command.key);
    }
  }

  void CheckSafety()
  {
    for (const auto& [name, core] : m_cores) {
      if (core->Role() == RaftRole::Leader) {
        const auto [known, fresh] = m_leaders.emplace(core->Term(), name);
        // Election safety: at most one leader per term.
        RC_ASSERT(known->second == name);
      }
    }
  }

  std::mt19937_64 m_random;
  Deadline m_now{ std::chrono::hours(1) };
  std::vector<wire::Replica> m_members;
  std::map<std::string, Disk> m_disks;
  std::map<std::string, std::unique_ptr<RaftCore>> m_cores;
  std::deque<wire::RaftMessage> m_network;
  std::set<std::string> m_isolated;
  std::map<int64_t, wire::LogEntry> m_committed;
  std::map<int64_t, std::string> m_leaders;
  int64_t m_nextIncarnation = 1;
  int64_t m_nextCommand = 0;
};

RC_BOOST_PROP(committed_entries_are_never_lost_and_a_quorum_makes_progress, (uint64_t aSeed))
{
  const int size = *rc::gen::element(1, 3, 5, 7);
  FakeCluster cluster(size, aSeed);
  for (int i = 0; i < 1500; ++i) {
    cluster.Step();
  }
  RC_ASSERT(cluster.RecoverAndCommit());
}

BOOST_AUTO_TEST_CASE(a_leader_without_replies_steps_down_before_another_can_be_elected)
{
  const wire::SnapshotFile initial = MakeGroupOf({ "a", "b", "c" });
  Deadline now{ std::chrono::hours(1) };
  RaftCore leader({ .group = "g", .name = "a", .incarnation = 1, .seed = 1 }, { .snapshot = initial }, now);
  RaftCore follower({ .group = "g", .name = "b", .incarnation = 1, .seed = 2 }, { .snapshot = initial }, now);
  const auto exchangeMessages = [&] {
    for (int i = 0; i < 4; ++i) {
      for (RaftCore* core : { &leader, &follower }) {
        const RaftOutput output = core->TakeOutput();
        if (!output.newEntries.empty()) {
          core->MarkPersisted(output.newEntries.back().index);
        }
        for (const wire::RaftMessage& message : output.messages) {
          (message.receiver == "a" ? leader : follower).Receive(message, now);
        }
      }
    }
  };
  while (leader.Role() != RaftRole::Leader) {
    now += std::chrono::milliseconds(10);
    leader.Tick(now);
    exchangeMessages();
  }
  // From here on the leader receives no messages.
  const Deadline isolatedAt = now;
  while (leader.Role() == RaftRole::Leader) {
    now += std::chrono::milliseconds(10);
    leader.Tick(now);
    leader.TakeOutput();
    BOOST_REQUIRE(now < isolatedAt + std::chrono::milliseconds(2000));
  }
  // By then the follower still refuses to vote, or has only just started to grant votes.
  BOOST_TEST((now - isolatedAt <= std::chrono::milliseconds(910)));
  wire::RaftMessage request = MakeRaftMessage(wire::RaftKind::PreVote, "c", "b", 100);
  request.logIndex = 100;
  request.logTerm = 99;
  follower.Receive(request, isolatedAt + std::chrono::milliseconds(880));
  BOOST_TEST(follower.TakeOutput().messages.empty());
}

// Guards against: two replicas that stand at the same time split the votes, and the group has no leader for
// one more election timeout.
BOOST_AUTO_TEST_CASE(of_two_replicas_that_stand_at_the_same_time_one_is_elected_at_once)
{
  const wire::SnapshotFile initial = MakeGroupOf({ "a", "b", "lost" });
  Deadline now{ std::chrono::hours(1) };
  std::map<std::string, std::unique_ptr<RaftCore>> cores;
  for (const std::string name : { "a", "b" }) {
    cores[name] =
      std::make_unique<RaftCore>(RaftCore::Options{ .group = "g", .name = name, .incarnation = 1 },
                                 RaftState{ .snapshot = initial },
                                 now);
  }
  now += std::chrono::seconds(2);
  for (auto& [name, core] : cores) {
    core->Tick(now);
    BOOST_TEST((core->Role() == RaftRole::PreCandidate));
  }
  for (int round = 0; round < 5; ++round) {
    std::vector<wire::RaftMessage> messages;
    for (auto& [name, core] : cores) {
      const RaftOutput output = core->TakeOutput();
      messages.insert(messages.end(), output.messages.begin(), output.messages.end());
    }
    for (const wire::RaftMessage& message : messages) {
      if (cores.contains(message.receiver)) {
        cores[message.receiver]->Receive(message, now);
      }
    }
  }
  const auto leaders = std::count_if(
    cores.begin(), cores.end(), [](const auto& aEntry) { return aEntry.second->Role() == RaftRole::Leader; });
  BOOST_TEST(leaders == 1);
}

// Guards against: after a planned stop of the leader the group has no leader for an election timeout, or one
// without an entry that the leader had committed.
BOOST_AUTO_TEST_CASE(a_leader_that_leaves_is_followed_at_once_by_a_voter_with_all_entries)
{
  const wire::SnapshotFile initial = MakeGroupOf({ "a", "b", "c" });
  Deadline now{ std::chrono::hours(1) };
  std::map<std::string, std::unique_ptr<RaftCore>> cores;
  for (const wire::Replica& member : initial.members) {
    cores[member.name] = std::make_unique<RaftCore>(
      RaftCore::Options{ .group = "g", .name = member.name, .incarnation = 1, .seed = cores.size() },
      RaftState{ .snapshot = initial },
      now);
  }
  std::set<std::string> cutOff;
  const auto exchangeMessages = [&] {
    for (int round = 0; round < 6; ++round) {
      for (auto& [name, core] : cores) {
        const RaftOutput output = core->TakeOutput();
        if (!output.newEntries.empty()) {
          core->MarkPersisted(output.newEntries.back().index);
        }
        for (const wire::RaftMessage& message : output.messages) {
          if (!cutOff.contains(message.sender) && !cutOff.contains(message.receiver)) {
            cores[message.receiver]->Receive(message, now);
          }
        }
      }
    }
  };
  RaftCore& leader = *cores["a"];
  while (leader.Role() != RaftRole::Leader) {
    now += std::chrono::milliseconds(10);
    leader.Tick(now);
    exchangeMessages();
  }
  // "b" lacks an entry, and another one is committed only when "c" has confirmed it.
  cutOff = { "b" };
  leader.Propose(wire::Command{}, now);
  BOOST_TEST(!leader.HandOver(now).has_value());
  exchangeMessages();
  BOOST_TEST(leader.HandOver(now).value() == "c");
  cutOff.clear();
  exchangeMessages();
  BOOST_TEST((cores["c"]->Role() == RaftRole::Leader));
  BOOST_TEST((leader.Role() == RaftRole::Follower));
  BOOST_TEST(cores["c"]->Term() == leader.Term());
  BOOST_TEST(leader.Leader() == "c");
}

// Guards against: a request to start an election that comes late or from another replica than the leader
// replaces a leader that is at work.
BOOST_AUTO_TEST_CASE(only_the_present_leader_can_ask_for_an_election)
{
  const Deadline now{ std::chrono::hours(1) };
  RaftCore follower({ .group = "g", .name = "b", .incarnation = 1, .seed = 1 },
                    { .snapshot = MakeGroupOf({ "a", "b", "c" }) },
                    now);
  follower.Receive(MakeRaftMessage(wire::RaftKind::Append, "a", "b", 2), now);
  follower.TakeOutput();
  follower.Receive(MakeRaftMessage(wire::RaftKind::TimeoutNow, "c", "b", 2), now);
  follower.Receive(MakeRaftMessage(wire::RaftKind::TimeoutNow, "a", "b", 1), now);
  BOOST_TEST((follower.Role() == RaftRole::Follower));
  BOOST_TEST(follower.TakeOutput().messages.empty());
  follower.Receive(MakeRaftMessage(wire::RaftKind::TimeoutNow, "a", "b", 2), now);
  BOOST_TEST((follower.Role() == RaftRole::Candidate));
  BOOST_TEST(follower.Term() == 3);
}

/** Returns a request for the vote of replica "a" under an incarnation. */
static wire::RaftMessage
MakeVoteRequest(wire::RaftKind::type aKind, int64_t aIncarnation)
{
  wire::RaftMessage vote = MakeRaftMessage(aKind, "b", "a", 5);
  vote.receiverIncarnation = aIncarnation;
  vote.logIndex = 3;
  vote.logTerm = 4;
  return vote;
}

BOOST_AUTO_TEST_CASE(a_replica_ignores_messages_for_a_previous_incarnation_and_replies_of_unknown_senders)
{
  const Deadline now{ std::chrono::hours(1) };
  RaftCore replica({ .group = "g", .name = "a", .incarnation = 2, .seed = 1 }, {}, now);
  for (const auto kind : { wire::RaftKind::PreVote, wire::RaftKind::Vote, wire::RaftKind::Append }) {
    replica.Receive(MakeVoteRequest(kind, 1), now);
  }
  for (const auto kind :
       { wire::RaftKind::PreVoteReply, wire::RaftKind::VoteReply, wire::RaftKind::AppendReply }) {
    replica.Receive(MakeVoteRequest(kind, 2), now);
  }
  BOOST_TEST(replica.TakeOutput().messages.empty());
  BOOST_TEST(replica.Term() == 0);
}

// Guards against: the entry that makes a replica a voter is stored by the others, the leader and another
// voter are lost before it has the entry itself, and the group needs a vote that it never gives.
BOOST_AUTO_TEST_CASE(a_replica_votes_by_the_log_of_the_candidate_and_not_by_its_own)
{
  wire::SnapshotFile learner = MakeGroupOf({ "a", "b", "c" });
  learner.members[0].voter = false;
  for (const wire::SnapshotFile& held : { learner, wire::SnapshotFile{} }) {
    for (const auto kind : { wire::RaftKind::PreVote, wire::RaftKind::Vote }) {
      const Deadline now{ std::chrono::hours(1) };
      RaftCore replica({ .group = "g", .name = "a", .incarnation = 1, .seed = 1 }, { .snapshot = held }, now);
      replica.Receive(MakeVoteRequest(kind, 1), now);
      const RaftOutput output = replica.TakeOutput();
      BOOST_REQUIRE(output.messages.size() == 1u);
      BOOST_TEST(output.messages[0].granted);
      BOOST_TEST(output.ballotChanged == (kind == wire::RaftKind::Vote));
    }
  }
}

// Guards against: a replica that lost its disk counts as caught up by what it held before, and is promoted
// empty.
BOOST_AUTO_TEST_CASE(a_replica_that_joins_again_has_caught_up_only_by_its_new_replies)
{
  const wire::SnapshotFile initial = MakeGroupOf({ "a", "b", "c" });
  Deadline now{ std::chrono::hours(1) };
  std::map<std::string, std::unique_ptr<RaftCore>> cores;
  for (const wire::Replica& member : initial.members) {
    cores[member.name] = std::make_unique<RaftCore>(
      RaftCore::Options{ .group = "g", .name = member.name, .incarnation = 1, .seed = cores.size() },
      RaftState{ .snapshot = initial },
      now);
  }
  const auto run = [&] {
    for (int step = 0; step < 200; ++step) {
      now += std::chrono::milliseconds(20);
      for (auto& [name, core] : cores) {
        core->Tick(now);
        const RaftOutput output = core->TakeOutput();
        if (!output.newEntries.empty()) {
          core->MarkPersisted(output.newEntries.back().index);
        }
        for (const wire::RaftMessage& message : output.messages) {
          if (cores.contains(message.receiver)) {
            cores[message.receiver]->Receive(message, now);
          }
        }
      }
    }
  };
  run();
  const auto leader = std::find_if(
    cores.begin(), cores.end(), [](const auto& aEntry) { return aEntry.second->Role() == RaftRole::Leader; });
  BOOST_REQUIRE(leader != cores.end());
  RaftCore& core = *leader->second;
  wire::Replica emptied = initial.members[core.Leader() == "c" ? 0 : 2];
  BOOST_TEST(core.IsCaughtUp(emptied.name));
  cores.erase(emptied.name);
  emptied.incarnation = 2;
  BOOST_REQUIRE(core.ProposeMembers(MembersWithLearner(core.Members(), emptied), now).has_value());
  run();
  BOOST_TEST(core.IsMembershipCommitted());
  BOOST_TEST(!core.IsCaughtUp(emptied.name));
}

// Guards against: a snapshot that was sent on a late message makes a follower drop entries after it that it
// has confirmed and that were committed by that.
BOOST_AUTO_TEST_CASE(a_snapshot_of_entries_that_a_follower_holds_leaves_the_later_ones)
{
  RaftState state{ .snapshot = MakeGroupOf({ "a", "b", "c" }) };
  for (int64_t index = 1; index <= 10; ++index) {
    state.entries.push_back(MakeLogEntry(index, 1));
  }
  const Deadline now{ std::chrono::hours(1) };
  RaftCore follower({ .group = "g", .name = "b", .incarnation = 1, .seed = 1 }, state, now);
  wire::RaftMessage message = MakeRaftMessage(wire::RaftKind::Snapshot, "a", "b", 1);
  message.logIndex = 5;
  message.logTerm = 1;
  message.members = state.snapshot.members;
  follower.Receive(message, now);
  BOOST_TEST(follower.LastIndex() == 10);
  BOOST_TEST(follower.CommitIndex() == 5);
  BOOST_TEST(follower.TakeCommittedEntries().size() == 5u);
  const RaftOutput output = follower.TakeOutput();
  BOOST_TEST(!output.installedSnapshot.has_value());
  BOOST_TEST(output.messages.back().logIndex == 5);
}

/** Returns the messages of a given kind in a leader's output by receiver, and clears the output. */
static std::map<std::string, int>
SentAppends(RaftCore& aLeader)
{
  std::map<std::string, int> counts;
  for (const wire::RaftMessage& message : aLeader.TakeOutput().messages) {
    counts[message.receiver] += message.kind == wire::RaftKind::Append ? 1 : 0;
  }
  return counts;
}

BOOST_AUTO_TEST_CASE(a_read_round_asks_voters_only_and_idle_learners_get_half_of_the_heartbeats)
{
  wire::SnapshotFile initial = MakeGroupOf({ "voter", "learner" });
  initial.members[1].voter = false;
  Deadline now{ std::chrono::hours(1) };
  RaftCore leader(
    { .group = "g", .name = "voter", .incarnation = 1, .seed = 1 }, { .snapshot = initial }, now);
  while (leader.Role() != RaftRole::Leader) {
    now += std::chrono::milliseconds(20);
    leader.Tick(now);
  }
  leader.MarkPersisted(leader.LastIndex());
  leader.Tick(now);
  SentAppends(leader);
  leader.StartHeartbeatRound(now);
  BOOST_TEST(SentAppends(leader)["learner"] == 0);
  int heartbeats = 0;
  for (int tick = 0; tick < 150; ++tick) {
    now += std::chrono::milliseconds(20);
    leader.Tick(now);
    heartbeats += SentAppends(leader)["learner"];
  }
  // 3 s at an interval of 150 ms.
  BOOST_TEST(heartbeats >= 8);
  BOOST_TEST(heartbeats <= 11);
  leader.Propose(wire::Command{}, now);
  BOOST_TEST(SentAppends(leader)["learner"] == 1);
}
