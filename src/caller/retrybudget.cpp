#include "caller/retrybudget.h"

#include <algorithm>

namespace mimosarun {

RetryBudget::RetryBudget(Options aOptions)
  : m_options(aOptions)
  , m_saved(aOptions.limit)
{
}

void
RetryBudget::Earn()
{
  const std::lock_guard lock(m_mutex);
  m_saved = std::min(m_options.limit, m_saved + m_options.share);
}

bool
RetryBudget::TrySpend()
{
  const std::lock_guard lock(m_mutex);
  if (m_saved < 1) {
    return false;
  }
  m_saved -= 1;
  return true;
}

} // namespace mimosarun
