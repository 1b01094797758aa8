#pragma once

#include "common/error.h"

#include <string>

namespace mimosarun {

/** An operator's request to run a command. */
struct OperatorRequest
{
  std::string command;
  /** A repeated request with the same identifier returns the first answer. */
  std::string requestId;
  std::string author;
  /** Configuration document of a proposal. */
  std::string document;
};

/** Parses the JSON body of an operator's request. */
Result<OperatorRequest>
ParseOperatorRequest(const std::string& aBody);

} // namespace mimosarun
