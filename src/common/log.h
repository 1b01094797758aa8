#pragma once

#include "common/event.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mimosarun {

/** A named value in a log record. */
struct LogField
{
  std::string_view name;
  std::string value;

  LogField(std::string_view aName, std::string aValue)
    : name(aName)
    , value(std::move(aValue))
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : name(aName)
    , value(aValue)
  {
  }
  LogField(std::string_view aName, std::integral auto aValue)
    : name(aName)
    , value(std::to_string(aValue))
  {
  }
};

/** The standard stream for the log if no log file is set. */
enum class LogConsole
{
  Error,
  Output,
};

/** Destination of the log, and the fields that identify the process in each record. */
struct LogOptions
{
  std::string file;
  LogConsole console = LogConsole::Error;
  std::string process;
  std::string role;
  std::string failureDomain;
};

/** Opens the log, on the console stream if the file name is empty. Call once, before other threads start. */
void
OpenLog(const LogOptions& aOptions);

/** Writes an event as a line of JSON with a timestamp of the hybrid clock. Thread-safe. */
void
Log(Event aEvent, std::initializer_list<LogField> aFields = {});

} // namespace mimosarun
