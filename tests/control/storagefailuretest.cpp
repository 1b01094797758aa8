#define BOOST_TEST_MODULE storagefailures
#include "common/compression.h"
#include "common/digest.h"
#include "common/log.h"
#include "control/configurationreader.h"
#include "control/groupreplica.h"
#include "control/raftmessages.h"
#include "control/simulateddisk.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <set>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr milliseconds kTick{ 20 };
/** Enough for the next attempt to open the journal. */
static constexpr milliseconds kReturnLimit{ 2500 };
static constexpr const char* kSelf = "r1";

/** Writes the log of the many simulated failures nowhere. */
struct SilentLog
{
  SilentLog() { OpenLog({ .file = "/dev/null" }); }
};

BOOST_TEST_GLOBAL_FIXTURE(SilentLog);

static std::string
DiskFolder()
{
  return std::filesystem::temp_directory_path().string() + "/storagefailures-" + std::to_string(::getpid());
}

/** Keeps the messages that a replica sends. */
class FakeTransport : public Transport
{
public:
  void Send(std::vector<wire::RaftMessage> aMessages) override
  {
    m_sent.insert(m_sent.end(), aMessages.begin(), aMessages.end());
  }

  std::vector<wire::RaftMessage> Take() { return std::exchange(m_sent, {}); }

private:
  std::vector<wire::RaftMessage> m_sent;
};

/** The keys of the applied commands. */
class FakeMachine
{
public:
  wire::CommandResult Apply(const wire::LogEntry& aEntry)
  {
    m_keys.insert(aEntry.command.key);
    return {};
  }

  std::string Image() const { return ""; }

  Result<void> Restore(const std::string& /*aImage*/, int64_t /*aIndex*/)
  {
    m_keys.clear();
    return boost::outcome_v2::success();
  }

  bool Contains(const std::string& aKey) const { return m_keys.contains(aKey); }

private:
  std::set<std::string> m_keys;
};

/** A replica on a simulated disk with a simulated clock; the test plays the others. */
template<StateMachine Machine>
class ReplicaRun
{
public:
  explicit ReplicaRun(const std::vector<std::string>& aMembers)
    : m_members(MakeGroupOf(aMembers).members)
  {
    SimulatedDisk::Use(DiskFolder());
    Start();
    Step({ .messages = {}, .commands = {}, .reads = {}, .initialMembers = m_members });
  }

  ~ReplicaRun() { SimulatedDisk::Use(DiskFolder()); }

  void Start()
  {
    m_replica = std::make_unique<GroupReplica<Machine>>(GroupOptions{ .name = "g",
                                                                      .replica = kSelf,
                                                                      .incarnation = 1,
                                                                      .folder = DiskFolder() + "/g",
                                                                      .address = "",
                                                                      .clock = [this] { return m_now; } },
                                                        m_machine,
                                                        m_transport);
    BOOST_REQUIRE(m_replica->Open());
  }

  void Step(ReplicaInput aInput = {})
  {
    m_now += kTick;
    m_replica->Step(std::move(aInput));
    m_published = m_replica->Status();
  }

  void Run(milliseconds aTime)
  {
    for (const Deadline end = m_now + aTime; m_now < end;) {
      Step();
    }
  }

  void Receive(wire::RaftMessage aMessage)
  {
    ReplicaInput input;
    input.messages = { std::move(aMessage) };
    Step(std::move(input));
  }

  std::future<wire::CommandResult> Submit(const std::string& aKey)
  {
    wire::Command command;
    command.key = aKey;
    return Submit(std::move(command));
  }

  std::future<wire::CommandResult> Submit(wire::Command aCommand)
  {
    ReplicaInput input;
    input.commands.push_back({ .command = std::move(aCommand), .promise = {} });
    std::future<wire::CommandResult> result = input.commands.back().promise.get_future();
    Step(std::move(input));
    return result;
  }

  std::future<wire::ReadIndex> Read()
  {
    ReplicaInput input;
    input.reads.push_back({ .deadline = m_now + milliseconds(900), .promise = {} });
    std::future<wire::ReadIndex> result = input.reads.back().promise.get_future();
    Step(std::move(input));
    return result;
  }

  /** The machine loses its power and starts again, with a working disk. */
  void LosePower(std::mt19937_64& aRandom)
  {
    SimulatedDisk::SetFaults({});
    m_replica.reset();
    SimulatedDisk::LosePower(DiskFolder(), aRandom);
    Start();
  }

  /** Returns the status after the last step, which is what others see during a step. */
  const wire::GroupStatus& Status() const { return m_published; }
  Machine& State() { return m_machine; }
  FakeTransport& Sent() { return m_transport; }

  /** Returns what is on the disk. */
  static JournalContent Stored()
  {
    Journal journal(DiskFolder() + "/g");
    return journal.Open().value();
  }

private:
  const std::vector<wire::Replica> m_members;
  Deadline m_now{ std::chrono::hours(1) };
  Machine m_machine;
  FakeTransport m_transport;
  wire::GroupStatus m_published;
  std::unique_ptr<GroupReplica<Machine>> m_replica;
};

template<typename Value>
static std::optional<Value>
ValueOf(std::future<Value>& aFuture)
{
  const bool isReady = aFuture.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  return isReady ? std::optional(aFuture.get()) : std::nullopt;
}

/** Draws a disk that works, that is full or that refuses syncs. */
static void
DrawDiskFault(std::mt19937_64& aRandom)
{
  const auto choice = aRandom() % 10;
  SimulatedDisk::SetFaults({ .isFull = choice == 0, .refusesSyncs = choice == 1 });
}

// Guards against: a replica whose storage failed stays out until its process is started again.
BOOST_AUTO_TEST_CASE(a_replica_returns_when_its_disk_takes_writes_and_syncs_again)
{
  for (const DiskFaults& faults : { DiskFaults{ .isFull = true }, DiskFaults{ .refusesSyncs = true } }) {
    ReplicaRun<FakeMachine> run({ kSelf });
    run.Run(milliseconds(3000));
    BOOST_REQUIRE(run.Status().leader == kSelf);
    SimulatedDisk::SetFaults(faults);
    std::future<wire::CommandResult> refused = run.Submit("refused");
    BOOST_TEST((ValueOf(refused).value().code == wire::ResultCode::Unknown));
    BOOST_TEST(run.Status().failed);
    // An attempt to open the journal fails as well, or finds the disk as it is.
    run.Run(milliseconds(3000));
    SimulatedDisk::SetFaults({});
    run.Run(kReturnLimit);
    BOOST_TEST(!run.Status().failed);
    run.Run(milliseconds(3000));
    std::future<wire::CommandResult> accepted = run.Submit("accepted");
    const auto result = ValueOf(accepted);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->code == wire::ResultCode::Done));
  }
}

// Guards against: a leader acknowledges a command that its disk refused, or forgets an acknowledged one when
// it opens its journal again; a confirmed read then gives an older state.
BOOST_AUTO_TEST_CASE(what_a_leader_acknowledged_outlives_its_storage_failures_and_a_power_loss)
{
  int acknowledgedCount = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    ReplicaRun<FakeMachine> run({ kSelf });
    std::set<std::string> acknowledged;
    for (int change = 0; change < 40; ++change) {
      run.Run(milliseconds(random() % 800));
      DrawDiskFault(random);
      const std::string key = "k" + std::to_string(change);
      std::future<wire::CommandResult> result = run.Submit(key);
      std::future<wire::ReadIndex> read = run.Read();
      run.Step();
      const auto value = ValueOf(result);
      const auto index = ValueOf(read);
      if (value && value->code == wire::ResultCode::Done) {
        acknowledged.insert(key);
      }
      if (index && index->confirmed && run.Status().applied >= index->index) {
        for (const std::string& earlier : acknowledged) {
          BOOST_TEST(run.State().Contains(earlier), "seed " << seed);
        }
      }
    }
    run.LosePower(random);
    run.Run(milliseconds(4000));
    for (const std::string& key : acknowledged) {
      BOOST_TEST(run.State().Contains(key), "seed " << seed);
    }
    acknowledgedCount += static_cast<int>(acknowledged.size());
  }
  // The others were refused.
  BOOST_TEST(acknowledgedCount > 200);
}

/** What a follower promised to others in its messages. */
struct Promises
{
  std::map<int64_t, int64_t> termByIndex;
  int64_t voteTerm = 0;
  std::string votedFor;

  void Note(const std::vector<wire::RaftMessage>& aMessages)
  {
    for (const wire::RaftMessage& message : aMessages) {
      if (message.kind == wire::RaftKind::AppendReply && message.granted) {
        for (int64_t index = 1; index <= message.logIndex; ++index) {
          termByIndex[index] = termByIndex.contains(index) ? termByIndex[index] : 1;
        }
      } else if (message.kind == wire::RaftKind::VoteReply && message.granted) {
        BOOST_TEST((message.term > voteTerm || message.receiver == votedFor));
        voteTerm = message.term;
        votedFor = message.receiver;
      }
    }
  }
};

// Guards against: a replica confirms entries or votes from a state that its disk refused, and doesn't have it
// any more after a power loss.
BOOST_AUTO_TEST_CASE(what_a_follower_confirmed_outlives_its_storage_failures_and_a_power_loss)
{
  size_t confirmedCount = 0;
  int voteCount = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    ReplicaRun<FakeMachine> run({ kSelf, "r2", "r3" });
    Promises promises;
    int64_t last = 0;
    for (int round = 0; round < 60; ++round) {
      DrawDiskFault(random);
      if (random() % 4 == 0) {
        // A candidate that holds the whole log, long after the leader was heard.
        run.Run(milliseconds(1000));
        wire::RaftMessage vote = MakeRaftMessage(wire::RaftKind::Vote,
                                                 random() % 2 == 0 ? "r2" : "r3",
                                                 kSelf,
                                                 2 + static_cast<int64_t>(random() % 20));
        vote.logIndex = 1000;
        vote.logTerm = 1;
        run.Receive(vote);
      } else {
        // The leader doesn't know what the replica holds, and sends some of it again.
        wire::RaftMessage append = MakeRaftMessage(wire::RaftKind::Append, "r2", kSelf, 100);
        append.logIndex = last - static_cast<int64_t>(random() % static_cast<uint64_t>(last + 1));
        append.logTerm = append.logIndex == 0 ? 0 : 1;
        for (auto count = random() % 4; count > 0; --count) {
          append.entries.push_back(
            MakeLogEntry(append.logIndex + 1 + static_cast<int64_t>(append.entries.size()), 1));
        }
        append.term = std::max<int64_t>(1, run.Status().term);
        run.Receive(append);
      }
      run.Run(milliseconds(random() % 600));
      promises.Note(run.Sent().Take());
      last = promises.termByIndex.empty() ? 0 : promises.termByIndex.rbegin()->first;
    }
    run.LosePower(random);
    const JournalContent stored = ReplicaRun<FakeMachine>::Stored();
    BOOST_TEST(stored.entries.size() >= promises.termByIndex.size(), "seed " << seed);
    BOOST_TEST(stored.ballot.term >= promises.voteTerm, "seed " << seed);
    const bool isOtherVote =
      stored.ballot.term == promises.voteTerm && stored.ballot.votedFor != promises.votedFor;
    BOOST_TEST(!isOtherVote, "seed " << seed);
    confirmedCount += promises.termByIndex.size();
    voteCount += promises.votedFor.empty() ? 0 : 1;
  }
  BOOST_TEST(confirmedCount > 200u);
  BOOST_TEST(voteCount > 20);
}

/** The configuration of a replica; runs a hook when it has taken over a snapshot. */
class HookedConfiguration
{
public:
  wire::CommandResult Apply(const wire::LogEntry& aEntry) { return m_state.Apply(aEntry); }
  std::string Image() const { return m_state.Image(); }

  Result<void> Restore(const std::string& aImage, int64_t aIndex)
  {
    BOOST_OUTCOME_TRYV(m_state.Restore(aImage, aIndex));
    m_whenRestored();
    return boost::outcome_v2::success();
  }

  void SetWhenRestored(std::function<void()> aHook) { m_whenRestored = std::move(aHook); }
  const ConfigurationState& State() const { return m_state; }

private:
  ConfigurationState m_state;
  std::function<void()> m_whenRestored = [] {};
};

static wire::Command
MakeReplace(int64_t aVersion, int64_t aBase)
{
  const std::string text = "version " + std::to_string(aVersion);
  wire::Command command;
  command.kind = wire::CommandKind::Replace;
  command.version = aVersion;
  command.basedOn = aBase;
  command.hash = Sha256(text);
  command.body = Compress(text);
  return command;
}

// Guards against: a read that knows which entries it needs gets an older configuration while the replica
// opens its journal again and applies its entries anew.
BOOST_AUTO_TEST_CASE(a_read_never_gets_the_state_of_a_replica_that_is_being_reopened)
{
  ReplicaRun<HookedConfiguration> run({ kSelf });
  run.Run(milliseconds(3000));
  for (const auto [version, base] : { std::pair(3, 0), std::pair(5, 3) }) {
    std::future<wire::CommandResult> result = run.Submit(MakeReplace(version, base));
    BOOST_REQUIRE((ValueOf(result).value().code == wire::ResultCode::Done));
  }
  wire::ReadIndex confirmed;
  confirmed.confirmed = true;
  confirmed.index = run.Status().applied;
  const ConfigurationReader reader(
    { .requestReadIndex = [&](Deadline) -> Result<wire::ReadIndex> { return confirmed; } },
    run.State().State());
  const auto read = [&] {
    const Result<SnapshotPointer> newest = reader.ReadNewest(SteadyClock::now() + milliseconds(20));
    return newest ? std::optional(newest.value()->version) : std::nullopt;
  };
  BOOST_TEST((read() == 5));
  int reopenedCount = 0;
  run.State().SetWhenRestored([&] {
    ++reopenedCount;
    BOOST_TEST((read() == std::nullopt));
  });
  SimulatedDisk::SetFaults({ .isFull = true });
  run.Submit(MakeReplace(7, 5));
  SimulatedDisk::SetFaults({});
  run.Run(milliseconds(6000));
  BOOST_TEST(reopenedCount > 0);
  BOOST_TEST((read() == 5));
}
