#pragma once

#include "caller/balancer.h"
#include "process/metrics.h"

namespace mimosarun {

/** Metrics of the choices among gates, and of what they are based on. Thread-safe. */
class ChoiceMetrics
{
public:
  explicit ChoiceMetrics(Metrics& aMetrics);

  /** Records the age of the report that a choice used. */
  void RecordChoice(const GateChoice& aChoice);

  /** Counts a choice whose gate rejected the call although it was expected to have room. */
  void RecordFullerGate() { m_fullerGates->Increment(); }

  /** Sets the load of each service's gates as this entry sees it. */
  void SetLoads(const std::vector<ServiceLoad>& aLoads);

private:
  Metrics& m_metrics;
  prometheus::Histogram* m_reportAge;
  prometheus::Counter* m_withoutReport;
  prometheus::Counter* m_fullerGates;
};

} // namespace mimosarun
