#pragma once

#include "caller/callhistory.h"
#include "common/ratelimit.h"
#include "process/metrics.h"

#include <utility>

namespace mimosarun {

/** Records how the calls of an entry end: in the history, the metrics and the log. Thread-safe. */
class CallRecorder
{
public:
  explicit CallRecorder(Metrics& aMetrics);

  /** Records the end of a call, whose record must be complete. */
  void RecordEnd(CallRecord aRecord);

  /** Counts a call that is refused before it is sent to any gate. */
  void CountImmediateRefusal() { m_notRunCounter->Increment(); }

  /** Adds a record to the history only. */
  void Add(CallRecord aRecord) { m_history.Add(std::move(aRecord)); }

  const CallHistory& History() const { return m_history; }

private:
  void RecordNotRun(const CallRecord& aRecord);
  void RecordUnknown(const CallRecord& aRecord);
  /** Counts a call that didn't run, by why it was sent to no further gate. */
  void CountRefusal(const CallRecord& aRecord);

  Metrics& m_metrics;
  CallHistory m_history;
  /** Limits the log records of refused calls, which are very frequent under overload. */
  RateLimit m_refusalLogLimit;
  prometheus::Counter* m_completeCounter;
  prometheus::Counter* m_notRunCounter;
  prometheus::Counter* m_unknownCounter;
  prometheus::Histogram* m_callTimeHistogram;
};

} // namespace mimosarun
