#pragma once

#include "common/error.h"

#include <string>

namespace mimosarun {

/** A command as an operator sends it. */
struct OperatorRequest
{
  std::string command;
  /** Resending with the same identifier gets the first answer. */
  std::string requestId;
  std::string author;
  /** Text of the configuration of a proposal. */
  std::string document;
};

/** Reads the JSON body of an operator's request. */
Result<OperatorRequest>
ParseOperatorRequest(const std::string& aBody);

} // namespace mimosarun
