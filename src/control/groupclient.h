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

/** Whether a peer is asked for a sign of life before a command is sent to it. */
enum class ProbePolicy
{
  /** Send at once; for commands that are harmless to send twice and whose refusal needs no certainty. */
  SendAtOnce,
  /** Probe first, so that a peer that can't be reached leaves no doubt whether the command ran. */
  ProbeFirst,
};

/** Sends commands to the leader of a group wherever it is, following hints and trying replicas in turn. */
class GroupClient
{
public:
  explicit GroupClient(const std::vector<ReplicaSettings>& aReplicas);

  /**
   * Commits a command. Refusals say for sure that nothing was done, except Unknown: there the command may
   * take effect, and sending it again with the same request identifier tells.
   */
  wire::CommandResult Submit(const std::string& aGroup,
                             const wire::Command& aCommand,
                             Deadline aDeadline,
                             ProbePolicy aProbe = ProbePolicy::SendAtOnce);

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  /** One replica with a few connections, so that commands don't wait for each other. */
  struct Peer
  {
    std::string name;
    std::vector<std::unique_ptr<Client>> connections;
    size_t nextConnection = 0;
  };

  /** What one try at one peer gave. */
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
  size_t NextPeer(size_t aPeer, const Attempt& aTry, size_t aTried);
  Client& PickConnection(size_t aPeer);
  size_t FirstPeer(const std::string& aGroup);
  void RememberLeader(const std::string& aGroup, const std::string& aLeader);

  std::mutex m_mutex;
  std::vector<Peer> m_peers;
  std::map<std::string, size_t> m_leaders;
};

} // namespace mimosarun
