#pragma once

#include "node/directory.h"
#include "rollout/versionsplitter.h"

#include <string>
#include <vector>

namespace mimosarun {

/**
 * Says which gates of its service a call may be sent to: the candidate's for its first attempt if the
 * roll-out's share includes the call, and otherwise the allowed ones. An attempt after the first goes to a
 * candidate only if all calls do, so that rejections and retries don't raise the candidate's share.
 */
class CallGates
{
public:
  /**
   * Returns the gates for the next attempt; empty if the service has none. The result is valid as long as
   * this object and the directory are.
   */
  const std::vector<GateInfo>& ForAttempt(const GateDirectory& aDirectory,
                                          const std::string& aService,
                                          VersionSplitter& aSplitter,
                                          Deadline aNow);

  /** Returns the gates that any call may be sent to. */
  static const std::vector<GateInfo>& AllowedGates(const GateDirectory& aDirectory,
                                                   const std::string& aService);

private:
  bool m_isFirst = true;
  /** Holds the gate of a candidate call that goes to one in turn. */
  std::vector<GateInfo> m_oneCandidate;
};

} // namespace mimosarun
