#include "team/credentiallease.h"

#include <algorithm>

namespace mimosarun {

/** Share of the bound that covers clocks of nodes and replicas that run at different rates. */
static constexpr int kClockMarginDivisor = 50;

CredentialLease::CredentialLease(RevocationLimits aLimits)
  : m_limits(aLimits)
{
}

void
CredentialLease::Extend(const wire::Validity& aValidity, Deadline aPollSentAt, Deadline aReceivedAt)
{
  using std::chrono::milliseconds;
  const auto elapsed = std::chrono::floor<milliseconds>(aReceivedAt - aPollSentAt);
  // A replica can't have held the request for longer than the reply took.
  const milliseconds held = std::clamp(milliseconds(aValidity.heldMillis), milliseconds(0), elapsed);
  const milliseconds age = std::max(milliseconds(aValidity.ageMillis), milliseconds(0));
  const Deadline end = aPollSentAt + held - age + m_limits.bound - m_limits.bound / kClockMarginDivisor;
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_ends, [aReceivedAt](const auto& aEntry) { return aEntry.second <= aReceivedAt; });
  if (end > aReceivedAt) {
    Deadline& current = m_ends[aValidity.version];
    current = std::max(current, end);
  }
}

bool
CredentialLease::Holds(int64_t aVersion, Deadline aNow) const
{
  if (!m_limits.isStrict) {
    return true;
  }
  const std::lock_guard lock(m_mutex);
  return std::any_of(m_ends.begin(), m_ends.upper_bound(aVersion), [aNow](const auto& aEntry) {
    return aNow < aEntry.second;
  });
}

} // namespace mimosarun
