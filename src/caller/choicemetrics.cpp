#include "caller/choicemetrics.h"

namespace mimosarun {

ChoiceMetrics::ChoiceMetrics(Metrics& aMetrics)
  : m_metrics(aMetrics)
  , m_reportAge(&aMetrics.SecondsHistogram("mimosarun_entry_load_report_age_seconds",
                                           "Age of the load report of the gate that was chosen",
                                           {}))
  , m_withoutReport(&aMetrics.Counter("mimosarun_entry_choices_without_report_total",
                                      "Choices of a gate without a recent load report",
                                      {}))
  , m_fullerGates(&aMetrics.Counter("mimosarun_entry_fuller_gates_total",
                                    "Calls that a gate rejected although it was expected to have room",
                                    {}))
{
}

void
ChoiceMetrics::RecordChoice(const GateChoice& aChoice)
{
  if (aChoice.reportAge) {
    m_reportAge->Observe(std::chrono::duration<double>(*aChoice.reportAge).count());
  } else {
    m_withoutReport->Increment();
  }
}

void
ChoiceMetrics::SetLoads(const std::vector<ServiceLoad>& aLoads)
{
  const std::string help = "Calls at the gates of a service for each of their slots, as this entry sees it";
  for (const ServiceLoad& load : aLoads) {
    const std::string name = "mimosarun_entry_gate_load";
    m_metrics.Gauge(name, help, { { "service", load.service }, { "of", "mean" } }).Set(load.meanLoad);
    m_metrics.Gauge(name, help, { { "service", load.service }, { "of", "busiest" } }).Set(load.busiestLoad);
  }
}

} // namespace mimosarun
