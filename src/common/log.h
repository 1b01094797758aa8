#pragma once

#include "common/event.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mimosarun {

/** One named value of a log record. */
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

/** Stream that takes the log where no file is named. */
enum class LogConsole
{
  Error,
  Output,
};

/** Where the log of a process goes and what names it there. */
struct LogOptions
{
  std::string file;
  LogConsole console = LogConsole::Error;
  std::string process;
  std::string role;
  std::string failureDomain;
};

/** Opens the log; an empty file name means a console stream. Called once, before any other thread starts. */
void
OpenLog(const LogOptions& aOptions);

/** Writes one event as a line of JSON with a reading of the hybrid clock. Thread-safe. */
void
Log(Event aEvent, std::initializer_list<LogField> aFields = {});

} // namespace mimosarun
