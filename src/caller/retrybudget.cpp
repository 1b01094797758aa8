#include "caller/retrybudget.h"

#include <algorithm>

namespace mimosarun {

RetryBudget::RetryBudget(Options aOptions)
  : m_options(aOptions)
{
}

void
RetryBudget::SetNodes(size_t aNodes)
{
  const std::lock_guard lock(m_mutex);
  m_nodes = std::max<size_t>(1, aNodes);
}

int64_t
RetryBudget::NumberAt(Deadline aNow) const
{
  return aNow.time_since_epoch() / (m_options.window / kParts);
}

RetryBudget::Part&
RetryBudget::PartAt(const std::string& aService, Deadline aNow)
{
  const int64_t number = NumberAt(aNow);
  Part& part = m_services[aService][static_cast<size_t>(number) % kKeptParts];
  if (part.number != number) {
    part = { .number = number };
  }
  return part;
}

void
RetryBudget::Earn(const std::string& aService, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  ++PartAt(aService, aNow).requests;
}

bool
RetryBudget::TrySpend(const std::string& aService, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  Part& current = PartAt(aService, aNow);
  int64_t requests = 0;
  int64_t repeats = 0;
  for (const Part& part : m_services[aService]) {
    const int64_t age = current.number - part.number;
    requests += age < static_cast<int64_t>(kParts) ? part.requests : 0;
    repeats += age < static_cast<int64_t>(kKeptParts) ? part.repeats : 0;
  }
  const double allowed =
    m_options.share * static_cast<double>(requests) + m_options.extra / static_cast<double>(m_nodes);
  if (static_cast<double>(repeats + 1) > allowed) {
    return false;
  }
  ++current.repeats;
  return true;
}

void
RetryBudget::GiveBack(const std::string& aService, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  Part& current = PartAt(aService, aNow);
  current.repeats = std::max<int64_t>(0, current.repeats - 1);
}

} // namespace mimosarun
