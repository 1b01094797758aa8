#pragma once

#include "common/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarun {

/** The action that an operator's command requests. */
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

/** One condition of a where clause: a field must have this value. */
struct Condition
{
  std::string field;
  std::string value;
};

/** A parsed operator command. */
struct OperatorCommand
{
  CommandVerb verb = CommandVerb::Show;
  /** What to show or explain, or the name of a target or replica. */
  std::string subject;
  /** A version, or the proposal to accept. */
  int64_t firstNumber = 0;
  /** The newer version of a diff. */
  int64_t secondNumber = 0;
  std::vector<Condition> conditions;
};

/** Parses a command; an error names the unexpected word and what was expected. */
Result<OperatorCommand>
ParseCommand(const std::string& aText);

/** Returns the help text for all verbs. */
std::string
CommandHelp();

} // namespace mimosarun
