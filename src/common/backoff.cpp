#include "common/backoff.h"

#include "common/random.h"

#include <algorithm>

namespace mimosarun {

Backoff::Backoff(Options aOptions)
  : m_options(aOptions)
  , m_step(aOptions.first)
{
}

std::chrono::milliseconds
Backoff::Next()
{
  const auto step = m_step;
  m_step = std::min(m_step * 2, m_options.limit);
  return std::chrono::milliseconds(RandomBetween(step.count() / 2, step.count()));
}

void
Backoff::Reset()
{
  m_step = m_options.first;
}

} // namespace mimosarun
