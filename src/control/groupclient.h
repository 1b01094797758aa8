#pragma once

#include "common/clock.h"
#include "settings/processsettings.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/** Whether a peer is probed before a command is sent to it. */
enum class ProbePolicy
{
  /** Send without a probe; for commands that may be sent twice and whose outcome may stay unknown. */
  SendAtOnce,
  /** Probe first, so that a command to an unreachable peer certainly didn't run. */
  ProbeFirst,
};

/** Sends commands to the leader of a group, which it finds by hints and by trying the replicas in turn. */
class GroupClient
{
public:
  explicit GroupClient(const std::vector<ReplicaSettings>& aReplicas);

  /**
   * Commits a command. An error result guarantees that it had no effect, except Unknown: the command may
   * still take effect, and sending it again with the same request identifier returns its result.
   */
  wire::CommandResult Submit(const std::string& aGroup,
                             const wire::Command& aCommand,
                             Deadline aDeadline,
                             ProbePolicy aProbe = ProbePolicy::SendAtOnce);

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  /** A replica with several connections, so that commands don't wait for each other. */
  struct Peer
  {
    std::string name;
    std::vector<std::unique_ptr<Client>> connections;
    size_t nextConnection = 0;
  };

  /** Outcome of one attempt at one peer. */
  struct Attempt
  {
    wire::CommandResult result;
    bool answered = false;
    bool mayHaveRun = false;
  };

  Attempt TryPeer(size_t aPeer,
                  const std::string& aGroup,
                  const wire::Command& aCommand,
                  Deadline aDeadline,
                  ProbePolicy aProbe);
  size_t NextPeer(size_t aPeer, const Attempt& aAttempt, size_t aAttemptCount);
  Client& PickConnection(size_t aPeer);
  size_t FirstPeer(const std::string& aGroup);
  void RememberLeader(const std::string& aGroup, const std::string& aLeader);

  std::mutex m_mutex;
  std::vector<Peer> m_peers;
  std::map<std::string, size_t> m_leaders;
};

} // namespace mimosarun
