#include "common/backoff.h"

#include "common/random.h"

#include <algorithm>

namespace mimosarun {

Backoff::Backoff(Options aOptions)
  : m_options(aOptions)
  , m_delay(aOptions.initialDelay)
{
}

std::chrono::milliseconds
Backoff::NextDelay()
{
  const auto step = m_delay;
  m_delay = std::min(m_delay * 2, m_options.maximumDelay);
  return std::chrono::milliseconds(RandomBetween(step.count() / 2, step.count()));
}

void
Backoff::Reset()
{
  m_delay = m_options.initialDelay;
}

} // namespace mimosarun
