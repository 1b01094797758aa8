#include "caller/retrybudget.h"

#include <algorithm>

namespace mimosarun {

RetryBudget::RetryBudget(Options aOptions)
  : m_options(aOptions)
{
}

void
RetryBudget::SetNodeCount(size_t aCount)
{
  const std::lock_guard lock(m_mutex);
  m_nodeCount = std::max<size_t>(1, aCount);
}

int64_t
RetryBudget::BucketNumberAt(Deadline aNow) const
{
  return aNow.time_since_epoch() / (m_options.window / kBuckets);
}

RetryBudget::Bucket&
RetryBudget::BucketAt(const std::string& aService, Deadline aNow)
{
  const int64_t number = BucketNumberAt(aNow);
  Bucket& bucket = m_windows[aService][static_cast<size_t>(number) % kKeptBuckets];
  if (bucket.number != number) {
    bucket = { .number = number };
  }
  return bucket;
}

void
RetryBudget::RecordRequest(const std::string& aService, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  ++BucketAt(aService, aNow).requests;
}

bool
RetryBudget::TrySpend(const std::string& aService, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  Bucket& current = BucketAt(aService, aNow);
  int64_t requests = 0;
  int64_t retries = 0;
  for (const Bucket& bucket : m_windows[aService]) {
    const int64_t age = current.number - bucket.number;
    requests += age < static_cast<int64_t>(kBuckets) ? bucket.requests : 0;
    retries += age < static_cast<int64_t>(kKeptBuckets) ? bucket.retries : 0;
  }
  const double allowed = m_options.retriesPerRequest * static_cast<double>(requests) +
                         m_options.baseRetries / static_cast<double>(m_nodeCount);
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

void
RetryBudget::Refund(const std::string& aService, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  Bucket& current = BucketAt(aService, aNow);
  current.retries = std::max<int64_t>(0, current.retries - 1);
}

} // namespace mimosarun
