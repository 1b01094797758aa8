#pragma once

#include "common/clock.h"
#include "operators/answer.h"
#include "operators/request.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Sends commands to the first server that answers, and repeats them while the outcome is unknown. */
class OperatorClient
{
public:
  /** @param aServers operator addresses as "ip:port", tried in order */
  explicit OperatorClient(std::vector<std::string> aServers);

  Answer Send(const OperatorRequest& aRequest, Deadline aDeadline) const;

private:
  std::vector<std::string> m_servers;
};

} // namespace mimosarun
