#include "process/metrics.h"

#include <prometheus/text_serializer.h>

#include <vector>

namespace mimosarun {

static constexpr double kSmallestBucketSeconds = 0.00025;
static constexpr int kBucketCount = 17;

Metrics::Metrics()
  : m_registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter&
Metrics::Counter(const std::string& aName, const std::string& aHelp, const prometheus::Labels& aLabels)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(*m_registry).Add(aLabels);
}

prometheus::Gauge&
Metrics::Gauge(const std::string& aName, const std::string& aHelp, const prometheus::Labels& aLabels)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(*m_registry).Add(aLabels);
}

prometheus::Histogram&
Metrics::SecondsHistogram(const std::string& aName,
                          const std::string& aHelp,
                          const prometheus::Labels& aLabels)
{
  std::vector<double> bounds;
  double bound = kSmallestBucketSeconds;
  for (int i = 0; i < kBucketCount; ++i) {
    bounds.push_back(bound);
    bound *= 2;
  }
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(*m_registry).Add(aLabels, bounds);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace mimosarun
