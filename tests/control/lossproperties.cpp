#define BOOST_TEST_MODULE lossproperties
#include "control/journal.h"
#include "control/membermaintenance.h"
#include "control/raftcore.h"
#include "control/simulateddisk.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <sstream>

using namespace mimosarun;
using std::chrono::milliseconds;

/** Time after which a machine that is back doesn't count as lost any more (catchUp of the users). */
static constexpr milliseconds kCatchUp{ 4000 };
/** Time after the final loss by which the group must accept a change (recovery of the users). */
static constexpr milliseconds kRecovery{ 15000 };
static constexpr milliseconds kStep{ 5 };
static constexpr milliseconds kTickInterval{ 20 };
static constexpr milliseconds kLinkDelay{ 5 };
static constexpr milliseconds kReopenInterval{ 1000 };
static constexpr milliseconds kCommitSaveInterval{ 300 };
// As in Controller.
static constexpr milliseconds kWatchInterval{ 250 };
static constexpr milliseconds kStatusTimeout{ 300 };
static constexpr milliseconds kJoinTimeout{ 1500 };
static constexpr milliseconds kLeaderlessLimit{ 2500 };
static constexpr int kVoterCount = 3;
static constexpr int64_t kEntriesBeforeSnapshot = 25;

using Keys = std::vector<std::string>;

static Keys
SplitKeys(const std::string& aText)
{
  Keys keys;
  std::istringstream stream(aText);
  for (std::string key; stream >> key;) {
    keys.push_back(key);
  }
  return keys;
}

static std::string
JoinKeys(const Keys& aKeys)
{
  std::string text;
  for (const std::string& key : aKeys) {
    text += key + " ";
  }
  return text;
}

enum class Death
{
  Kill,
  PowerLoss,
  DiskLoss,
};

/** A simulated process with a journal on a simulated disk; it does what Group does, without threads. */
struct Process
{
  std::string name;
  std::string folder;
  int64_t incarnation = 0;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<RaftCore> core;
  std::unique_ptr<MemberMaintenance> maintenance;
  Keys keys;
  std::vector<wire::RaftMessage> inbox;
  std::vector<wire::Replica> joins;
  Keys proposals;
  /** Term and key of the proposed commands by their index. */
  std::map<int64_t, std::pair<int64_t, std::string>> waiters;
  RaftRole lastRole = RaftRole::Follower;
  bool isFailed = false;
  bool hasFullDisk = false;
  bool isGone = false;
  /** Whether it is frozen within a step, after its disk operations and before its messages. */
  bool isHeldBeforeSend = false;
  bool freezesInStep = false;
  bool clockStops = false;
  milliseconds clockLag{ 0 };
  milliseconds freezeTime{ 0 };
  Deadline frozenUntil{};
  Deadline startAt{};
  Deadline reopenAt{};
  Deadline tickAt{};
  Deadline watchAt{};
  Deadline commitSaveAt{};
  Deadline leaderSeenAt{};
  std::vector<wire::RaftMessage> held;
  /** Disk operations until it dies, and how; -1 for never. */
  int operationsLeft = -1;
  Death death = Death::Kill;
  milliseconds downTime{ 0 };
};

/** Four replicas, three of them voters, that meet combined disruptions while operators change the state. */
class Deployment
{
public:
  explicit Deployment(uint64_t aSeed)
    : m_random(aSeed)
    , m_root(std::filesystem::temp_directory_path().string() + "/losses-" + std::to_string(::getpid()))
  {
    SimulatedDisk::Use(m_root);
    for (int i = 0; i < kVoterCount; ++i) {
      m_initial.members.emplace_back();
      m_initial.members.back().name = "r" + std::to_string(i);
      m_initial.members.back().incarnation = 1;
    }
    for (int i = 0; i <= kVoterCount; ++i) {
      AddProcess(i < kVoterCount);
    }
  }

  ~Deployment() { SimulatedDisk::Use(m_root); }

  void RunDay()
  {
    Run(milliseconds(4000 + Below(3000)));
    for (auto count = 2 + Below(5); count > 0; --count) {
      Disrupt();
      Run(milliseconds(Below(4) == 0 ? 0 : Below(3000)));
    }
    FinalLoss();
    RC_ASSERT(CommitsWithin(kRecovery));
  }

private:
  uint64_t Below(uint64_t aLimit) { return m_random() % aLimit; }

  Deadline Now(const Process& aProcess) const { return m_now - aProcess.clockLag; }

  bool IsRunning(const Process& aProcess) const
  {
    return aProcess.core != nullptr && m_now >= aProcess.frozenUntil;
  }

  Process& AddProcess(bool aForms)
  {
    const std::string name = "r" + std::to_string(m_processes.size());
    auto process = std::make_unique<Process>();
    process->name = name;
    process->folder = m_root + "/" + name;
    m_processes.push_back(std::move(process));
    Start(*m_processes.back(), aForms);
    return *m_processes.back();
  }

  void Start(Process& aProcess, bool aForms)
  {
    aProcess.startAt = {};
    aProcess.incarnation = LoadOrCreateIncarnation(aProcess.folder, aForms ? 1 : ++m_nextIncarnation).value();
    aProcess.journal = std::make_unique<Journal>(aProcess.folder + "/configuration");
    aProcess.maintenance = std::make_unique<MemberMaintenance>(kVoterCount);
    aProcess.leaderSeenAt = Now(aProcess);
    // A replica that refuses to start counts as lost with its disk.
    RC_ASSERT(Open(aProcess));
    if (aForms && aProcess.core->Members().empty()) {
      RC_ASSERT(aProcess.journal->SaveSnapshot(m_initial, {}).has_value());
      RC_ASSERT(Open(aProcess));
    }
  }

  bool Open(Process& aProcess)
  {
    const auto content = aProcess.journal->Open();
    if (!content) {
      return false;
    }
    aProcess.keys = SplitKeys(content.value().snapshot.state);
    aProcess.core = std::make_unique<RaftCore>(
      RaftCore::Options{
        .group = "g", .name = aProcess.name, .incarnation = aProcess.incarnation, .seed = m_random() },
      RaftState{ .ballot = content.value().ballot,
                 .snapshot = content.value().snapshot,
                 .entries = content.value().entries,
                 .commitIndex = content.value().commitIndex },
      Now(aProcess));
    aProcess.isFailed = false;
    aProcess.lastRole = RaftRole::Follower;
    return true;
  }

  void Die(Process& aProcess, Death aDeath, milliseconds aDownTime)
  {
    if (aProcess.isGone) {
      return;
    }
    SimulatedDisk::SetFaults({});
    const auto name = aProcess.name;
    const auto folder = aProcess.folder;
    const auto lag = aProcess.clockLag;
    aProcess = Process{};
    aProcess.name = name;
    aProcess.folder = folder;
    aProcess.clockLag = lag;
    aProcess.startAt = m_now + aDownTime;
    if (aDeath == Death::PowerLoss) {
      SimulatedDisk::LosePower(folder, m_random);
    } else if (aDeath == Death::DiskLoss) {
      SimulatedDisk::LoseDisk(folder);
    }
    CountLost(aDownTime);
  }

  /** Notes that a machine is impaired for a time, and counts as lost for some time after that. */
  void CountLost(milliseconds aTime) { m_noneLostAt = std::max(m_noneLostAt, m_now + aTime + kCatchUp); }

  // --- steps ---------------------------------------------------------------------------------------------

  void Run(milliseconds aTime)
  {
    for (const Deadline end = m_now + aTime; m_now < end;) {
      Step();
    }
  }

  void Step()
  {
    m_now += kStep;
    Deliver();
    Operate();
    for (const auto& process : m_processes) {
      if (process->core == nullptr && !process->isGone && m_now >= process->startAt) {
        Start(*process, false);
      }
      if (IsRunning(*process)) {
        StepProcess(*process);
      }
    }
  }

  bool IsCut(const std::string& aFrom, const std::string& aTo) const
  {
    return m_now < m_cutUntil && m_otherSide.contains(aFrom) != m_otherSide.contains(aTo);
  }

  Process* Find(const std::string& aName) const
  {
    for (const auto& process : m_processes) {
      if (process->name == aName) {
        return process.get();
      }
    }
    return nullptr;
  }

  void Deliver()
  {
    const auto due = m_network.upper_bound(m_now);
    for (auto delivery = m_network.begin(); delivery != due; ++delivery) {
      const wire::RaftMessage& message = delivery->second;
      Process* receiver = Find(message.receiver);
      if (receiver != nullptr && receiver->core != nullptr && !IsCut(message.sender, message.receiver)) {
        receiver->inbox.push_back(message);
      }
    }
    m_network.erase(m_network.begin(), due);
  }

  void Send(const std::vector<wire::RaftMessage>& aMessages)
  {
    for (const wire::RaftMessage& message : aMessages) {
      m_network.emplace(m_now + kLinkDelay + milliseconds(Below(15)), message);
    }
  }

  void StepProcess(Process& aProcess)
  {
    if (aProcess.freezeTime.count() > 0 && !aProcess.freezesInStep) {
      Freeze(aProcess);
      return;
    }
    if (aProcess.isHeldBeforeSend) {
      aProcess.isHeldBeforeSend = false;
      FinishStep(aProcess);
      return;
    }
    Watch(aProcess);
    if (aProcess.inbox.empty() && aProcess.proposals.empty() && m_now < aProcess.tickAt) {
      return;
    }
    aProcess.tickAt = m_now + kTickInterval;
    SimulatedDisk::SetFaults({ .operationsLeft = aProcess.operationsLeft, .isFull = aProcess.hasFullDisk });
    const bool isStored = aProcess.isFailed ? Reopen(aProcess) : BeginStep(aProcess);
    if (isStored && aProcess.freezesInStep) {
      Freeze(aProcess);
      aProcess.isHeldBeforeSend = true;
    } else if (isStored) {
      FinishStep(aProcess);
    }
    EndDiskUse(aProcess);
  }

  void EndDiskUse(Process& aProcess)
  {
    if (SimulatedDisk::WasKilled()) {
      Die(aProcess, aProcess.death, aProcess.downTime);
    } else if (aProcess.operationsLeft > 0) {
      aProcess.operationsLeft = SimulatedDisk::OperationsLeft();
    }
    SimulatedDisk::SetFaults({});
  }

  void Freeze(Process& aProcess)
  {
    aProcess.frozenUntil = m_now + aProcess.freezeTime;
    aProcess.clockLag += aProcess.clockStops ? aProcess.freezeTime : milliseconds(0);
    CountLost(aProcess.freezeTime);
    aProcess.freezeTime = milliseconds(0);
    aProcess.freezesInStep = false;
  }

  bool Reopen(Process& aProcess)
  {
    aProcess.inbox.clear();
    aProcess.proposals.clear();
    aProcess.joins.clear();
    if (Now(aProcess) >= aProcess.reopenAt) {
      aProcess.reopenAt = Now(aProcess) + kReopenInterval;
      Open(aProcess);
    }
    return false;
  }

  void Fail(Process& aProcess)
  {
    aProcess.isFailed = true;
    aProcess.reopenAt = Now(aProcess) + kReopenInterval;
    aProcess.waiters.clear();
    RejectReads(aProcess);
  }

  /** Handles what arrived and stores the result; returns whether that succeeded. */
  bool BeginStep(Process& aProcess)
  {
    const Deadline now = Now(aProcess);
    RaftCore& core = *aProcess.core;
    StartReads(aProcess);
    for (const wire::RaftMessage& message : std::exchange(aProcess.inbox, {})) {
      core.Receive(message, now);
    }
    core.Tick(now);
    for (const wire::Replica& replica : std::exchange(aProcess.joins, {})) {
      if (!HasMember(core.Members(), replica.name, replica.incarnation)) {
        core.ProposeMembers(MembersWithLearner(core.Members(), replica), now);
      }
    }
    for (const std::string& key : std::exchange(aProcess.proposals, {})) {
      wire::Command command;
      command.kind = wire::CommandKind::Replace;
      command.key = key;
      if (const auto index = core.Propose(command, now)) {
        aProcess.waiters[*index] = { core.Term(), key };
      }
    }
    aProcess.maintenance->Step(core, now);
    RaftOutput output = core.TakeOutput();
    if (!Store(aProcess, output)) {
      Fail(aProcess);
      return false;
    }
    aProcess.held = std::move(output.messages);
    return true;
  }

  static bool Store(Process& aProcess, const RaftOutput& aOutput)
  {
    Journal& journal = *aProcess.journal;
    if (aOutput.ballotChanged && !journal.SaveBallot(aProcess.core->CurrentBallot())) {
      return false;
    }
    if (aOutput.installedSnapshot) {
      if (!journal.SaveSnapshot(*aOutput.installedSnapshot, {})) {
        return false;
      }
      aProcess.keys = SplitKeys(aOutput.installedSnapshot->state);
    }
    if (aOutput.truncateFromIndex && !journal.TruncateFrom(*aOutput.truncateFromIndex)) {
      return false;
    }
    if (!aOutput.newEntries.empty()) {
      if (!journal.Append(aOutput.newEntries)) {
        return false;
      }
      aProcess.core->MarkPersisted(aOutput.newEntries.back().index);
    }
    return true;
  }

  /** Sends the messages, applies and acknowledges what is committed, and takes snapshots. */
  void FinishStep(Process& aProcess)
  {
    RaftCore& core = *aProcess.core;
    Send(std::exchange(aProcess.held, {}));
    for (const wire::LogEntry& entry : core.TakeCommittedEntries()) {
      Apply(aProcess, entry);
    }
    AnswerReads(aProcess);
    if (core.Role() != aProcess.lastRole) {
      aProcess.lastRole = core.Role();
      aProcess.waiters.clear();
    }
    if (Now(aProcess) >= aProcess.commitSaveAt) {
      aProcess.commitSaveAt = Now(aProcess) + kCommitSaveInterval;
      static_cast<void>(aProcess.journal->SaveCommitIndex(core.AppliedIndex()).has_value());
    }
    if (core.AppliedIndex() - core.SnapshotIndex() >= kEntriesBeforeSnapshot &&
        !aProcess.journal->SaveSnapshot(core.Compact(JoinKeys(aProcess.keys)), core.Entries())) {
      Fail(aProcess);
    }
  }

  void Apply(Process& aProcess, const wire::LogEntry& aEntry)
  {
    const auto [known, isNew] = m_committed.emplace(aEntry.index, aEntry);
    // No two replicas ever apply different commands at an index.
    RC_ASSERT(known->second.term == aEntry.term);
    RC_ASSERT(known->second.command.key == aEntry.command.key);
    if (!aEntry.command.key.empty()) {
      aProcess.keys.push_back(aEntry.command.key);
    }
    const auto waiter = aProcess.waiters.find(aEntry.index);
    if (waiter != aProcess.waiters.end() && waiter->second.first == aEntry.term) {
      m_acknowledged.push_back(aEntry.command.key);
      m_acknowledgedIndex = std::max(m_acknowledgedIndex, aEntry.index);
    }
  }

  // --- operators and reads -------------------------------------------------------------------------------

  /** Two operators propose a change, or read, at any replica that takes itself for the leader. */
  void Operate()
  {
    for (const auto& process : m_processes) {
      if (process->core == nullptr || process->core->Role() != RaftRole::Leader || process->isFailed) {
        continue;
      }
      if (Below(40) == 0) {
        process->proposals.push_back("k" + std::to_string(++m_nextKey));
      }
      if (Below(10) == 0) {
        m_reads.push_back({ .process = process->name, .floor = m_acknowledgedIndex });
      }
    }
  }

  struct Read
  {
    std::string process;
    /** Highest index that was acknowledged before the read was sent. */
    int64_t floor = 0;
    std::optional<Deadline> round{};
  };

  void StartReads(Process& aProcess)
  {
    bool any = false;
    for (Read& read : m_reads) {
      if (read.process == aProcess.name && !read.round) {
        read.round = Now(aProcess);
        any = true;
      }
    }
    if (any) {
      aProcess.core->StartHeartbeatRound(Now(aProcess));
    }
  }

  void AnswerReads(Process& aProcess)
  {
    std::erase_if(m_reads, [&](const Read& aRead) {
      if (aRead.process != aProcess.name || !aRead.round) {
        return false;
      }
      const bool isConfirmed = aProcess.core->LeadershipConfirmedSince(*aRead.round);
      // A confirmed read is never older than what was acknowledged before it.
      RC_ASSERT(!isConfirmed || aProcess.core->CommitIndex() >= aRead.floor);
      return isConfirmed || aProcess.core->Role() != RaftRole::Leader;
    });
  }

  void RejectReads(const Process& aProcess)
  {
    std::erase_if(m_reads, [&](const Read& aRead) { return aRead.process == aProcess.name; });
  }

  // --- joining, as Controller::MaintainMembership() does it ----------------------------------------------

  void Watch(Process& aProcess)
  {
    if (m_now < aProcess.watchAt) {
      return;
    }
    aProcess.watchAt = m_now + kWatchInterval;
    const std::string leader = aProcess.isFailed ? "" : aProcess.core->Leader();
    if (!leader.empty()) {
      aProcess.leaderSeenAt = Now(aProcess);
    }
    const auto& members = aProcess.core->Members();
    if (members.empty()) {
      Discover(aProcess);
    } else if (!leader.empty() && !HasMember(members, aProcess.name, aProcess.incarnation)) {
      Join(aProcess, leader);
    } else if (Now(aProcess) > aProcess.leaderSeenAt + kLeaderlessLimit) {
      Discover(aProcess);
    }
  }

  void Discover(Process& aProcess)
  {
    for (const auto& other : m_processes) {
      if (other.get() == &aProcess || other->isGone) {
        continue;
      }
      if (!IsRunning(*other) || IsCut(aProcess.name, other->name)) {
        aProcess.watchAt += kStatusTimeout;
        continue;
      }
      const std::string leader = other->isFailed ? "" : other->core->Leader();
      if (leader.empty() || other->core->Members().empty()) {
        continue;
      }
      if (!HasMember(other->core->Members(), aProcess.name, aProcess.incarnation)) {
        Join(aProcess, leader);
      }
      return;
    }
  }

  void Join(Process& aProcess, const std::string& aLeader)
  {
    Process* leader = Find(aLeader);
    if (leader == nullptr || !IsRunning(*leader) || IsCut(aProcess.name, aLeader)) {
      aProcess.watchAt += kJoinTimeout;
      return;
    }
    wire::Replica self;
    self.name = aProcess.name;
    self.incarnation = aProcess.incarnation;
    leader->joins.push_back(self);
  }

  // --- disruptions ---------------------------------------------------------------------------------------

  std::vector<Process*> Present() const
  {
    std::vector<Process*> present;
    for (const auto& process : m_processes) {
      if (!process->isGone) {
        present.push_back(process.get());
      }
    }
    return present;
  }

  /** Returns the leader half of the time, otherwise any replica. */
  Process& Victim()
  {
    const std::vector<Process*> present = Present();
    for (Process* process : present) {
      if (process->core != nullptr && process->core->Role() == RaftRole::Leader && Below(2) == 0) {
        return *process;
      }
    }
    return *present[Below(present.size())];
  }

  milliseconds DownTime() { return milliseconds(100 + Below(900)); }

  /** Runs until the next change is acknowledged, or for a second. */
  void RunUntilAcknowledged()
  {
    const size_t before = m_acknowledged.size();
    for (const Deadline end = m_now + milliseconds(1000); m_now < end && m_acknowledged.size() == before;) {
      Step();
    }
  }

  /**
   * A disk may be lost while machines are lost otherwise, but after the loss of another disk only once no
   * machine counts as lost; most often exactly then.
   */
  void RunUntilDiskMayBeLost()
  {
    FreeDisks();
    const bool waits = m_hasLostDisk || Below(2) == 0;
    while (waits && m_now < m_noneLostAt) {
      Step();
    }
    m_hasLostDisk = true;
    if (Below(4) > 0) {
      RunUntilAcknowledged();
    }
  }

  /** Stops a replica at one of its next disk operations. */
  void DieAtOperation(Process& aProcess, Death aDeath)
  {
    aProcess.operationsLeft = static_cast<int>(1 + Below(8));
    aProcess.death = aDeath;
    aProcess.downTime = DownTime();
    CountLost(milliseconds(1000));
    Run(milliseconds(Below(1000)));
    if (aProcess.core != nullptr && aProcess.operationsLeft > 0) {
      Die(aProcess, aDeath, DownTime());
    }
  }

  void DieAll(Death aDeath, const Process* aExcept)
  {
    for (Process* process : Present()) {
      if (process != aExcept) {
        Die(*process, aDeath, DownTime());
      }
    }
  }

  void FreezeSoon(Process& aProcess)
  {
    aProcess.freezeTime = milliseconds(500 + Below(4000));
    aProcess.freezesInStep = Below(2) == 0;
    aProcess.clockStops = Below(2) == 0;
    CountLost(aProcess.freezeTime);
  }

  void Cut()
  {
    m_otherSide = { Victim().name };
    if (Below(2) == 0) {
      m_otherSide.insert(Victim().name);
    }
    const milliseconds time(500 + Below(3000));
    m_cutUntil = m_now + time;
    CountLost(time);
  }

  void FreeDisks()
  {
    for (Process* process : Present()) {
      if (std::exchange(process->hasFullDisk, false)) {
        CountLost(kReopenInterval);
      }
    }
  }

  void FillDisk(Process& aProcess)
  {
    aProcess.hasFullDisk = true;
    Run(milliseconds(Below(3000)));
  }

  void Replace(Process& aProcess)
  {
    Die(aProcess, Death::DiskLoss, milliseconds(0));
    aProcess.isGone = true;
    const milliseconds time(Below(1000));
    Run(time);
    AddProcess(false);
    CountLost(milliseconds(0));
  }

  void StopInSeries()
  {
    for (Process* process : Present()) {
      Die(*process, Death::Kill, DownTime());
      Run(milliseconds(500 + Below(2500)));
    }
  }

  void LoseDisk(bool aOthersLosePower)
  {
    RunUntilDiskMayBeLost();
    Process& victim = Victim();
    Die(victim, Death::DiskLoss, DownTime());
    if (aOthersLosePower) {
      DieAll(Death::PowerLoss, &victim);
    }
  }

  void Disrupt()
  {
    switch (Below(13)) {
      case 0:
        Die(Victim(), Death::Kill, DownTime());
        break;
      case 1:
        DieAtOperation(Victim(), Death::Kill);
        break;
      case 2:
        DieAtOperation(Victim(), Death::PowerLoss);
        break;
      case 3:
        RunUntilAcknowledged();
        Die(Victim(), Death::PowerLoss, DownTime());
        break;
      case 4:
      case 5:
        LoseDisk(Below(3) == 0);
        break;
      case 6:
        FreezeSoon(Victim());
        break;
      case 7:
        FillDisk(Victim());
        break;
      case 8:
        DieAll(Death::Kill, nullptr);
        break;
      case 9:
        DieAll(Death::PowerLoss, nullptr);
        break;
      case 10:
        Cut();
        break;
      case 11:
        RunUntilDiskMayBeLost();
        Replace(Victim());
        break;
      default:
        StopInSeries();
        break;
    }
    if (Below(3) > 0) {
      FreeDisks();
    }
  }

  void FinalLoss()
  {
    const bool losesDisk = Below(2) == 0;
    if (losesDisk) {
      RunUntilDiskMayBeLost();
    }
    Run(milliseconds(5 + Below(400)));
    Process& victim = Victim();
    if (losesDisk) {
      Die(victim, Death::DiskLoss, DownTime());
    }
    if (!losesDisk || Below(3) > 0) {
      DieAll(Below(2) == 0 ? Death::Kill : Death::PowerLoss, losesDisk ? &victim : nullptr);
    }
    m_cutUntil = m_now;
    FreeDisks();
  }

  /** Returns whether a change is committed in time on a leader that has all that was acknowledged. */
  bool CommitsWithin(milliseconds aTime)
  {
    const size_t before = m_acknowledged.size();
    for (const Deadline end = m_now + aTime; m_now < end;) {
      Step();
      if (m_acknowledged.size() > before + 1) {
        const auto holder = std::find_if(m_processes.begin(), m_processes.end(), [&](const auto& aProcess) {
          return aProcess->keys.size() > 0 && aProcess->keys.back() == m_acknowledged.back();
        });
        RC_ASSERT(holder != m_processes.end());
        const std::set<std::string> held((*holder)->keys.begin(), (*holder)->keys.end());
        for (const std::string& key : m_acknowledged) {
          RC_ASSERT(held.contains(key));
        }
        return true;
      }
    }
    return false;
  }

  std::mt19937_64 m_random;
  std::string m_root;
  Deadline m_now{ std::chrono::hours(1) };
  wire::SnapshotFile m_initial;
  std::vector<std::unique_ptr<Process>> m_processes;
  std::multimap<Deadline, wire::RaftMessage> m_network;
  std::set<std::string> m_otherSide;
  Deadline m_cutUntil{};
  Deadline m_noneLostAt{};
  bool m_hasLostDisk = false;
  std::map<int64_t, wire::LogEntry> m_committed;
  Keys m_acknowledged;
  int64_t m_acknowledgedIndex = 0;
  std::vector<Read> m_reads;
  int64_t m_nextKey = 0;
  int64_t m_nextIncarnation = 1;
};

// Guards against: an acknowledged change is gone, or a read doesn't contain it, after disruptions of several
// kinds at once that lose no more disks than one at a time.
RC_BOOST_PROP(acknowledged_changes_outlive_combined_losses, ())
{
  const auto seed = *rc::gen::noShrink(rc::gen::inRange<uint64_t>(0, 1'000'000'000));
  Deployment(seed).RunDay();
}
