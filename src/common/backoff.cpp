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
  const auto delay = m_delay;
  m_delay = std::min(m_delay * 2, m_options.maximumDelay);
  return std::chrono::milliseconds(RandomBetween(delay.count() / 2, delay.count()));
}

void
Backoff::Reset()
{
  m_delay = m_options.initialDelay;
}

} // namespace mimosarun
