#pragma once

#include "common/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarun {

/** What an operator wants done. */
enum class CommandVerb
{
  Show,
  Propose,
  Accept,
  Diff,
  Drain,
  Undrain,
  Stop,
  Explain,
  AddReplica,
  RemoveReplica,
};

/** One condition of a where clause. */
struct Condition
{
  std::string field;
  std::string value;
};

/** One parsed command of the operators' language. */
struct OperatorCommand
{
  CommandVerb verb = CommandVerb::Show;
  /** What is shown or explained, or the name of a target or replica. */
  std::string subject;
  int64_t firstNumber = 0;
  int64_t secondNumber = 0;
  std::vector<Condition> conditions;
};

/** Parses one command; a fault names the word and what may stand there. */
Result<OperatorCommand>
ParseCommand(const std::string& aText);

/** Help on all verbs, a line each. */
std::string
CommandHelp();

} // namespace mimosarun
