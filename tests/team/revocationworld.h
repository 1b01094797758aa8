#pragma once

#include "control/validityconfirmer.h"
#include "team/credentialgate.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mimosarun {

/**
 * One node, the control replica that it polls, and a quorum, in simulated time. Version n of the
 * configuration has only the key "key-n", so each new version removes a key. Clocks of node and replica run
 * at their own rates.
 */
class RevocationWorld
{
public:
  using Milliseconds = std::chrono::milliseconds;

  struct Options
  {
    RevocationLimits limits{ .isStrict = true, .bound = Milliseconds(5000) };
    double nodeRate = 1;
    double replicaRate = 1;
  };

  RevocationWorld();
  explicit RevocationWorld(Options aOptions);

  Milliseconds Now() const { return m_now; }
  int64_t NewestVersion() const { return static_cast<int64_t>(m_acknowledgedAt.size()); }

  /** Lets time pass and processes what is due. */
  void RunUntil(Milliseconds aTime);

  /** Acknowledges a new version to the operator now. */
  void AcknowledgeVersion();

  /** Lets the replica ask a quorum every 250 ms; each answer takes a time. */
  void ConfirmPeriodically(Milliseconds aDelay);
  /** Asks a quorum once. */
  void AskQuorum(Milliseconds aDelay);

  /** Lets the node poll the replica again and again, held for 800 ms, with delays each way. */
  void PollPeriodically(Milliseconds aThere, Milliseconds aBack);
  /** Sends one poll. */
  void SendPoll(Milliseconds aThere, Milliseconds aHeld, Milliseconds aBack);

  /** Suspends the node: whatever reaches it is processed only after Resume(). */
  void Suspend() { m_isSuspended = true; }
  void Resume();

  /** Starts the node anew with the version that it held, as other nodes bring it. */
  void RestartNode();

  /** Returns the verdict on a request with a version's key that the node reads now. */
  CredentialVerdict CheckKey(int64_t aVersion) const;

  /** Returns whether a request that was accepted under a version may be sent now. */
  bool MaySend(int64_t aVersion) const;

  /** Returns whether the node would run a request with a key later than the bound allows. */
  bool BreaksBound() const;

  /** Version that the node holds. */
  int64_t heldVersion = 1;
  bool quorumAnswers = true;
  bool pollsArrive = true;
  bool repliesArrive = true;

private:
  Deadline NodeClock() const { return ClockAt(m_options.nodeRate); }
  Deadline ReplicaClock() const { return ClockAt(m_options.replicaRate); }
  Deadline ClockAt(double aRate) const;
  void At(Milliseconds aTime, std::function<void()> aAction);
  void AnswerPoll(Deadline aPollSentAt, Deadline aReceivedAt, Milliseconds aBack);
  const Snapshot& SnapshotOf(int64_t aVersion) const;

  const Options m_options;
  Milliseconds m_now{ 0 };
  std::multimap<Milliseconds, std::function<void()>> m_actions;
  /** Times of acknowledgement; the first version is at index 0. */
  std::deque<Milliseconds> m_acknowledgedAt{ Milliseconds(0) };
  std::optional<int64_t> m_confirmedVersion;
  std::unique_ptr<ValidityConfirmer> m_confirmer;
  std::unique_ptr<CredentialLease> m_lease;
  bool m_isSuspended = false;
  std::deque<std::function<void()>> m_waitingReplies;
  mutable std::map<int64_t, SnapshotPointer> m_snapshots;
};

} // namespace mimosarun
