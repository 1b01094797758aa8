#include "common/log.h"

#include "common/clock.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace mimosarun {

static LogOptions s_options;

static const char*
SeverityName(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Info:
      return "info";
    case Severity::Warning:
      return "warning";
    case Severity::Error:
      return "error";
  }
  return "info";
}

void
OpenLog(const LogOptions& aOptions)
{
  namespace keywords = boost::log::keywords;
  s_options = aOptions;
  if (aOptions.file.empty()) {
    std::ostream& stream = aOptions.console == LogConsole::Output ? std::cout : std::cerr;
    boost::log::add_console_log(stream, keywords::format = "%Message%", keywords::auto_flush = true);
  } else {
    boost::log::add_file_log(keywords::file_name = aOptions.file,
                             keywords::open_mode = std::ios_base::app,
                             keywords::format = "%Message%",
                             keywords::auto_flush = true);
  }
}

void
Log(Event aEvent, std::initializer_list<LogField> aFields)
{
  thread_local boost::log::sources::severity_logger<Severity> logger;
  const EventDescription& description = Describe(aEvent);
  const HybridTime time = HybridClock::Instance().Now();
  nlohmann::ordered_json line;
  line["time"] = time.physical.time_since_epoch().count();
  line["logical"] = time.logical;
  line["process"] = s_options.process;
  line["role"] = s_options.role;
  line["domain"] = s_options.failureDomain;
  line["severity"] = SeverityName(description.severity);
  line["event"] = static_cast<int>(aEvent);
  line["name"] = description.name;
  for (const LogField& field : aFields) {
    line[std::string(field.name)] = field.value;
  }
  BOOST_LOG_SEV(logger, description.severity)
    << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mimosarun
