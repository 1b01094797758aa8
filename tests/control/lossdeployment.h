#pragma once

#include "control/simulatedprocess.h"

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/** A time in which a process does nothing. */
struct LossPause
{
  std::chrono::milliseconds time{ 0 };
  /** Whether the whole process is suspended; otherwise its other threads answer. */
  bool freezes = false;
  bool stopsClock = false;
  /** Whether the VM dies instead of going on. */
  bool endsInDeath = false;
};

/** A VM of a LossDeployment, which outlives its processes. */
struct LossVm
{
  std::string name;
  std::string folder;
  int64_t incarnation = 0;
  /** The process that runs, or nullptr. */
  std::unique_ptr<SimulatedProcess> process;
  bool isGone = false;
  std::chrono::milliseconds clockLag{ 0 };
  /** The present pause, or the one that begins at a later disk operation or message. */
  LossPause pause;
  Deadline pausedUntil{};
  /** How the VM dies at one of the next disk operations or at the end of its pause. */
  Death death = Death::Kill;
  std::chrono::milliseconds downTime{ 0 };
  Deadline startAt{};
  Deadline tickAt{};
  Deadline watchAt{};
  Deadline leaderSeenAt{};
};

/**
 * Four replicas, three of them voters, with real journals on a simulated disk and a network that loses
 * messages only by partitions, while operators change and read the state. Checks after each step that no two
 * replicas apply different commands and that confirmed reads have all that was acknowledged before.
 */
class LossDeployment
{
public:
  explicit LossDeployment(uint64_t aSeed);
  ~LossDeployment();

  LossDeployment(const LossDeployment&) = delete;
  LossDeployment& operator=(const LossDeployment&) = delete;

  /** Returns a random number below a limit. */
  uint64_t Below(uint64_t aLimit) { return m_random() % aLimit; }

  Deadline Now() const { return m_now; }
  void Run(std::chrono::milliseconds aTime);
  void Step();

  /** Returns the VMs that aren't removed. */
  std::vector<LossVm*> Present() const;

  void AddVm(bool aForms);
  void Die(LossVm& aVm, Death aDeath, std::chrono::milliseconds aDownTime);

  /** Lets a VM do nothing until the end of its pause. */
  void BeginPause(LossVm& aVm);

  /** Notes that a VM is impaired for a time, and counts as lost for some time after that. */
  void CountLost(std::chrono::milliseconds aTime);

  /** Returns the time from which no VM counts as lost, unless another one is impaired by then. */
  Deadline NoneLostAt() const { return m_noneLostAt; }

  /** Separates VMs from all others for a time. */
  void Cut(std::set<std::string> aVms, std::chrono::milliseconds aTime);

  size_t AcknowledgedCount() const { return m_acknowledged.size(); }

  /** Returns whether, in this time, a change is committed on a replica with all that was acknowledged. */
  bool CommitsWithin(std::chrono::milliseconds aTime);

private:
  /** A change that an operator sent to a VM. */
  struct Change
  {
    std::string vm;
    std::string key;
    std::future<wire::CommandResult> result;
  };

  /** A read that an operator sent to a VM. */
  struct Read
  {
    std::string vm;
    /** Number of acknowledged changes, and the highest index of theirs, when the read was sent. */
    size_t acknowledgedCount = 0;
    int64_t acknowledgedIndex = 0;
    std::future<wire::ReadIndex> result;
    /** Index that a quorum confirmed; the read ends when the VM has applied it. */
    std::optional<int64_t> confirmedIndex{};
  };

  Deadline ClockOf(const LossVm& aVm) const { return m_now - aVm.clockLag; }
  LossVm* Find(const std::string& aName) const;
  bool IsCut(const std::string& aFrom, const std::string& aTo) const;

  /** Returns whether a VM tells another one the status of its replica. */
  bool Answers(const LossVm& aVm, const std::string& aTo) const;

  void Start(LossVm& aVm, bool aForms);
  void Deliver();
  void Send(std::vector<wire::RaftMessage> aMessages);
  void StepVm(LossVm& aVm);
  void StepPaused(LossVm& aVm);
  void ForgetCallsOf(const std::string& aVm);

  void SendChangesAndReads();
  void CollectAcknowledgements();
  void CheckReads();
  bool CheckRead(Read& aRead);
  void CheckApplied(const wire::LogEntry& aEntry);

  void Watch(LossVm& aVm);
  void Discover(LossVm& aVm);
  void Join(LossVm& aVm, const std::string& aLeader);

  std::mt19937_64 m_random;
  std::string m_root;
  Deadline m_now{ std::chrono::hours(1) };
  std::vector<wire::Replica> m_initialMembers;
  std::vector<std::unique_ptr<LossVm>> m_vms;
  std::multimap<Deadline, wire::RaftMessage> m_network;
  std::set<std::string> m_otherSide;
  Deadline m_cutUntil{};
  Deadline m_noneLostAt{};
  std::map<int64_t, wire::LogEntry> m_committed;
  std::map<std::string, int64_t> m_indexByKey;
  std::vector<Change> m_changes;
  std::vector<Read> m_reads;
  Keys m_acknowledged;
  int64_t m_acknowledgedIndex = 0;
  int64_t m_nextKey = 0;
  int64_t m_nextIncarnation = 1;
};

} // namespace mimosarun
