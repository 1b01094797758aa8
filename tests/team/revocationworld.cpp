#include "team/revocationworld.h"

#include "common/digest.h"

namespace mimosarun {

/** Later than any simulated time before zero, so that clocks don't start at their epoch. */
static constexpr std::chrono::hours kClockStart{ 1 };
static constexpr std::chrono::milliseconds kConfirmInterval{ 250 };
static constexpr std::chrono::milliseconds kPollTime{ 800 };

RevocationWorld::RevocationWorld()
  : RevocationWorld(Options{})
{
}

RevocationWorld::RevocationWorld(Options aOptions)
  : m_options(aOptions)
  , m_confirmer(std::make_unique<ValidityConfirmer>(
      ValidityConfirmer::Options{ .isNeeded = [] { return true; },
                                  .confirm = [this](Deadline) { return m_confirmedVersion; },
                                  .pause = [](Deadline) {},
                                  .longestAge = m_options.limits.bound }))
  , m_lease(std::make_unique<CredentialLease>(m_options.limits))
{
}

Deadline
RevocationWorld::ClockAt(double aRate) const
{
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(m_now).count();
  return Deadline(kClockStart) +
         std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(micros) * aRate));
}

void
RevocationWorld::At(Milliseconds aTime, std::function<void()> aAction)
{
  m_actions.emplace(aTime, std::move(aAction));
}

void
RevocationWorld::RunUntil(Milliseconds aTime)
{
  while (!m_actions.empty() && m_actions.begin()->first <= aTime) {
    m_now = std::max(m_now, m_actions.begin()->first);
    const auto action = std::move(m_actions.begin()->second);
    m_actions.erase(m_actions.begin());
    action();
  }
  m_now = aTime;
}

void
RevocationWorld::AcknowledgeVersion()
{
  m_acknowledgedAt.push_back(m_now);
}

void
RevocationWorld::AskQuorum(Milliseconds aDelay)
{
  if (!quorumAnswers) {
    return;
  }
  // The quorum may have answered at once, so that a version acknowledged meanwhile isn't in the answer.
  At(m_now + aDelay, [this, askedAt = ReplicaClock(), version = NewestVersion()] {
    m_confirmedVersion = version;
    m_confirmer->Confirm(askedAt);
  });
}

void
RevocationWorld::ConfirmPeriodically(Milliseconds aDelay)
{
  AskQuorum(aDelay);
  At(m_now + std::max(kConfirmInterval, aDelay), [this, aDelay] { ConfirmPeriodically(aDelay); });
}

void
RevocationWorld::SendPoll(Milliseconds aThere, Milliseconds aHeld, Milliseconds aBack)
{
  if (!pollsArrive || m_isSuspended) {
    return;
  }
  At(m_now + aThere, [this, aHeld, aBack, sentAt = NodeClock()] {
    At(m_now + aHeld,
       [this, aBack, sentAt, receivedAt = ReplicaClock()] { AnswerPoll(sentAt, receivedAt, aBack); });
  });
}

void
RevocationWorld::AnswerPoll(Deadline aPollSentAt, Deadline aReceivedAt, Milliseconds aBack)
{
  if (!repliesArrive) {
    return;
  }
  const auto validity = m_confirmer->ValidityFor(aReceivedAt, ReplicaClock());
  const int64_t version = m_confirmedVersion.value_or(0);
  At(m_now + aBack, [this, validity, version, aPollSentAt] {
    if (!repliesArrive) {
      return;
    }
    const auto process = [this, validity, version, aPollSentAt] {
      heldVersion = std::max(heldVersion, version);
      if (validity) {
        m_lease->Extend(*validity, aPollSentAt, NodeClock());
      }
    };
    if (m_isSuspended) {
      m_waitingReplies.emplace_back(process);
    } else {
      process();
    }
  });
}

void
RevocationWorld::PollPeriodically(Milliseconds aThere, Milliseconds aBack)
{
  SendPoll(aThere, kPollTime, aBack);
  At(m_now + aThere + kPollTime + aBack, [this, aThere, aBack] { PollPeriodically(aThere, aBack); });
}

void
RevocationWorld::Resume()
{
  m_isSuspended = false;
  while (!m_waitingReplies.empty()) {
    const auto process = std::move(m_waitingReplies.front());
    m_waitingReplies.pop_front();
    process();
  }
}

void
RevocationWorld::RestartNode()
{
  m_waitingReplies.clear();
  m_lease = std::make_unique<CredentialLease>(m_options.limits);
}

const Snapshot&
RevocationWorld::SnapshotOf(int64_t aVersion) const
{
  SnapshotPointer& snapshot = m_snapshots[aVersion];
  if (snapshot != nullptr) {
    return *snapshot;
  }
  Configuration configuration;
  configuration.hasTeams = true;
  const std::string digest = Sha256("key-" + std::to_string(aVersion));
  configuration.teams["team"] = { .name = "team", .keyDigests = { digest } };
  configuration.teamByKeyDigest[digest] = "team";
  snapshot = std::make_shared<const Snapshot>(
    Snapshot{ .version = aVersion, .text = {}, .hash = {}, .configuration = std::move(configuration) });
  return *snapshot;
}

CredentialVerdict
RevocationWorld::CheckKey(int64_t aVersion) const
{
  const CredentialGate gate({ .lease = m_lease.get() });
  return gate.Check(SnapshotOf(heldVersion), Route{}, "key-" + std::to_string(aVersion), NodeClock()).verdict;
}

bool
RevocationWorld::MaySend(int64_t aVersion) const
{
  const CredentialGate gate({ .lease = m_lease.get() });
  return gate.MaySend(SnapshotOf(aVersion), Route{}, NodeClock());
}

bool
RevocationWorld::BreaksBound() const
{
  // Each version that the node has held may be the one under which a waiting request was accepted.
  for (int64_t version = 1; version <= heldVersion; ++version) {
    const auto successor = static_cast<size_t>(version);
    const bool isRemoved =
      successor < m_acknowledgedAt.size() && m_now > m_acknowledgedAt[successor] + m_options.limits.bound;
    if (!m_isSuspended && isRemoved && MaySend(version)) {
      return true;
    }
  }
  return false;
}

} // namespace mimosarun
