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
  StartRollout,
  EndRollout,
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
  /** What to show or explain, or the name of a target, replica or service. */
  std::string subject;
  /** A version, the proposal to accept, or the seconds of a roll-out. */
  int64_t firstNumber = 0;
  /** The newer version of a diff. */
  int64_t secondNumber = 0;
  /** Version of the software that a roll-out moves calls to. */
  std::string candidateVersion;
  std::vector<Condition> conditions;
};

/** Parses a command; an error names the unexpected word and what was expected. */
Result<OperatorCommand>
ParseCommand(const std::string& aText);

/** Returns the help text for all verbs. */
std::string
CommandHelp();

} // namespace mimosarun
