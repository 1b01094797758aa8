#include "control/groupclient.h"

#include "control/group.h"
#include "control/membership.h"

#include <algorithm>
#include <thread>

namespace mimosarun {

static constexpr size_t kConnectionsPerPeer = 4;
static constexpr std::chrono::milliseconds kRetryRoundPause{ 60 };
static constexpr std::chrono::milliseconds kAttemptTimeout{ 500 };
static constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
/** Longer than an election; without a leader for this long there is no quorum. */
static constexpr std::chrono::milliseconds kLeaderlessRetryLimit{ 4000 };

GroupClient::GroupClient(const std::vector<ReplicaSettings>& aReplicas)
{
  for (const ReplicaSettings& replica : aReplicas) {
    Peer peer;
    peer.name = replica.name;
    for (size_t i = 0; i < kConnectionsPerPeer; ++i) {
      peer.connections.push_back(std::make_unique<Client>(replica.address));
    }
    m_peers.push_back(std::move(peer));
  }
}

GroupClient::Client&
GroupClient::PickConnection(size_t aPeer)
{
  const std::lock_guard lock(m_mutex);
  Peer& peer = m_peers[aPeer];
  peer.nextConnection = (peer.nextConnection + 1) % peer.connections.size();
  return *peer.connections[peer.nextConnection];
}

size_t
GroupClient::FirstPeer(const std::string& aGroup)
{
  const std::lock_guard lock(m_mutex);
  const auto known = m_leaders.find(aGroup);
  return known == m_leaders.end() ? 0 : known->second;
}

void
GroupClient::RememberLeader(const std::string& aGroup, const std::string& aLeader)
{
  const std::lock_guard lock(m_mutex);
  for (size_t i = 0; i < m_peers.size(); ++i) {
    if (m_peers[i].name == aLeader) {
      m_leaders[aGroup] = i;
    }
  }
}

GroupClient::Attempt
GroupClient::TryPeer(size_t aPeer,
                     const std::string& aGroup,
                     const wire::Command& aCommand,
                     Deadline aDeadline,
                     ProbePolicy aProbe)
{
  Client& client = PickConnection(aPeer);
  Attempt attempt;
  if (aProbe == ProbePolicy::ProbeFirst) {
    wire::GroupStatus status;
    const Deadline probeDeadline = std::min(aDeadline, SteadyClock::now() + kProbeTimeout);
    if (!client.Call(probeDeadline,
                     [&](wire::ControlPeerClient& aClient) { aClient.status(status, aGroup); })) {
      return attempt;
    }
  }
  const Deadline callDeadline = std::min(aDeadline, SteadyClock::now() + kAttemptTimeout);
  const auto wait = static_cast<int32_t>(TimeLeft(callDeadline).count() * 9 / 10);
  attempt.answered =
    client
      .Call(callDeadline,
            [&](wire::ControlPeerClient& aClient) { aClient.submit(attempt.result, aGroup, aCommand, wait); })
      .has_value();
  // A peer that didn't reply may have accepted the command before the connection broke.
  attempt.mayHaveRun = !attempt.answered || attempt.result.code == wire::ResultCode::Unknown;
  return attempt;
}

size_t
GroupClient::NextPeer(size_t aPeer, const Attempt& aAttempt, size_t aAttemptCount)
{
  const auto hinted = std::find_if(m_peers.begin(), m_peers.end(), [&](const Peer& aOther) {
    return aAttempt.answered && !aAttempt.result.leader.empty() && aOther.name == aAttempt.result.leader;
  });
  // A hint may be outdated, so it is ignored once in each round of attempts.
  const bool follow = hinted != m_peers.end() && aAttemptCount % (m_peers.size() + 1) != 0;
  return follow ? static_cast<size_t>(hinted - m_peers.begin()) : (aPeer + 1) % m_peers.size();
}

wire::CommandResult
GroupClient::Submit(const std::string& aGroup,
                    const wire::Command& aCommand,
                    Deadline aDeadline,
                    ProbePolicy aProbe)
{
  if (m_peers.empty()) {
    return MakeFailedResult(wire::ResultCode::Unavailable,
                            "not run: the settings name no control replica; correct them");
  }
  const Deadline leaderlessDeadline = std::min(aDeadline, SteadyClock::now() + kLeaderlessRetryLimit);
  bool mayHaveRun = false;
  size_t peer = FirstPeer(aGroup);
  size_t attemptCount = 0;
  while (SteadyClock::now() < (mayHaveRun ? aDeadline : leaderlessDeadline)) {
    const Attempt attempt = TryPeer(peer, aGroup, aCommand, aDeadline, aProbe);
    ++attemptCount;
    if (attempt.answered && attempt.result.code != wire::ResultCode::NotLeader &&
        attempt.result.code != wire::ResultCode::Unknown) {
      RememberLeader(aGroup, m_peers[peer].name);
      return attempt.result;
    }
    mayHaveRun = mayHaveRun || attempt.mayHaveRun;
    peer = NextPeer(peer, attempt, attemptCount);
    if (attemptCount % m_peers.size() == 0) {
      std::this_thread::sleep_for(std::min(kRetryRoundPause, TimeLeft(aDeadline)));
    }
  }
  if (mayHaveRun) {
    return MakeFailedResult(
      wire::ResultCode::Unknown,
      "no decision before the deadline; send the command again with the same request identifier");
  }
  return MakeFailedResult(
    wire::ResultCode::Unavailable,
    "not run: no quorum of control replicas is reachable; restore the link or replicas and try again");
}

} // namespace mimosarun
