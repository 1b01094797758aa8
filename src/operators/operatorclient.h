#pragma once

#include "common/clock.h"
#include "operators/answer.h"
#include "operators/request.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Sends operators' commands to the first server that answers, and again while the outcome is unknown. */
class OperatorClient
{
public:
  /** Addresses of operator ports, as "ip:port". */
  explicit OperatorClient(std::vector<std::string> aServers);

  Answer Send(const OperatorRequest& aRequest, Deadline aDeadline) const;

private:
  std::vector<std::string> m_servers;
};

} // namespace mimosarun
