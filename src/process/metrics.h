#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <memory>
#include <string>

namespace mimosarun {

/** The metrics of one process, in the text format of Prometheus. */
class Metrics
{
public:
  Metrics();

  /** Returns a counter; the same name and labels return the same counter. */
  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const prometheus::Labels& aLabels);

  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const prometheus::Labels& aLabels);

  /** Returns a histogram of seconds with logarithmic buckets from 0.25 ms to 16 s. */
  prometheus::Histogram& SecondsHistogram(const std::string& aName,
                                          const std::string& aHelp,
                                          const prometheus::Labels& aLabels);

  /** Returns all metrics as text. */
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace mimosarun
