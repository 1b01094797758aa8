#include "caller/callrecorder.h"

#include "common/log.h"

#include <string>
#include <utility>

namespace mimosarun {

static constexpr int kLoggedRefusalsPerSecond = 10;

static prometheus::Counter&
CallCounter(Metrics& aMetrics, const std::string& aOutcome)
{
  return aMetrics.Counter(
    "mimosarun_entry_calls_total", "Calls of this entry by outcome", { { "outcome", aOutcome } });
}

static std::string
AttemptsText(const std::vector<AttemptRecord>& aAttempts)
{
  std::string text;
  for (const AttemptRecord& attempt : aAttempts) {
    text += (text.empty() ? "" : " ") + attempt.node + ":" + attempt.outcome + ":" +
            std::to_string(attempt.duration.count());
  }
  return text;
}

CallRecorder::CallRecorder(Metrics& aMetrics)
  : m_metrics(aMetrics)
  , m_refusalLogLimit(kLoggedRefusalsPerSecond)
  , m_completeCounter(&CallCounter(aMetrics, "complete"))
  , m_notRunCounter(&CallCounter(aMetrics, "not-run"))
  , m_unknownCounter(&CallCounter(aMetrics, "unknown"))
  , m_callTimeHistogram(
      &aMetrics.SecondsHistogram("mimosarun_entry_call_seconds", "Time of calls from arrival to the end", {}))
{
}

void
CallRecorder::RecordEnd(CallRecord aRecord)
{
  m_callTimeHistogram->Observe(std::chrono::duration<double>(aRecord.duration).count());
  if (aRecord.outcome == "complete") {
    m_completeCounter->Increment();
  } else if (aRecord.outcome == "not-run") {
    RecordNotRun(aRecord);
  } else {
    RecordUnknown(aRecord);
  }
  m_history.Add(std::move(aRecord));
}

void
CallRecorder::RecordNotRun(const CallRecord& aRecord)
{
  m_notRunCounter->Increment();
  CountRefusal(aRecord);
  if (!m_refusalLogLimit.Allow()) {
    return;
  }
  Log(Event::CallRefused,
      { { "call", aRecord.callId },
        { "route", aRecord.route },
        { "status", aRecord.status },
        { "reason", aRecord.reason },
        { "stopped", Name(aRecord.stopReason) },
        { "untried", aRecord.untriedGates },
        { "version", aRecord.version },
        { "attempts", AttemptsText(aRecord.attempts) },
        { "micros", aRecord.duration.count() } });
}

void
CallRecorder::RecordUnknown(const CallRecord& aRecord)
{
  m_unknownCounter->Increment();
  Log(Event::CallUnknown,
      { { "call", aRecord.callId },
        { "route", aRecord.route },
        { "status", aRecord.status },
        { "reason", aRecord.reason },
        { "version", aRecord.version },
        { "attempts", AttemptsText(aRecord.attempts) },
        { "micros", aRecord.duration.count() } });
}

void
CallRecorder::CountRefusal(const CallRecord& aRecord)
{
  m_metrics
    .Counter(
      "mimosarun_entry_refusals_total",
      "Calls that didn't run, by why no further gate was tried",
      { { "stopped", Name(aRecord.stopReason) }, { "gates_left", aRecord.untriedGates > 0 ? "yes" : "no" } })
    .Increment();
}

} // namespace mimosarun
