#include "target/requestrate.h"

#include <algorithm>

namespace mimosarun {

/** The bucket holds the requests of this time, and at least one. */
static constexpr std::chrono::duration<double> kBurst{ 0.2 };
/** A target that names no rate above zero gets a request this often, which shows when it takes more. */
static constexpr double kLowestRatePerSecond = 0.5;

static double
Capacity(double aPerSecond)
{
  return std::max(1.0, aPerSecond * kBurst.count());
}

double
RequestRate::TokensAt(Deadline aNow) const
{
  const std::chrono::duration<double> elapsed = std::max(aNow, m_refilledAt) - m_refilledAt;
  return std::min(Capacity(*m_perSecond), m_tokens + elapsed.count() * *m_perSecond);
}

void
RequestRate::SetLimit(std::optional<double> aPerSecond, Deadline aNow)
{
  m_tokens = m_perSecond ? TokensAt(aNow) : 0;
  m_refilledAt = aNow;
  m_perSecond = aPerSecond ? std::optional(std::max(*aPerSecond, kLowestRatePerSecond)) : std::nullopt;
}

bool
RequestRate::TryTake(Deadline aNow)
{
  if (!m_perSecond) {
    return true;
  }
  m_tokens = TokensAt(aNow);
  m_refilledAt = std::max(aNow, m_refilledAt);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

std::chrono::microseconds
RequestRate::WaitBehind(int aRequests, Deadline aNow) const
{
  if (!m_perSecond) {
    return std::chrono::microseconds(0);
  }
  const double missing = std::max(0.0, aRequests + 1 - TokensAt(aNow));
  return std::chrono::ceil<std::chrono::microseconds>(std::chrono::duration<double>(missing / *m_perSecond));
}

} // namespace mimosarun
