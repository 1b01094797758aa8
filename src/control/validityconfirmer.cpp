#include "control/validityconfirmer.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kInterval{ 250 };
/** A new question then gives a more recent confirmation than a late answer. */
static constexpr std::chrono::milliseconds kTimeout{ 500 };

ValidityConfirmer::ValidityConfirmer(Options aOptions)
  : m_options(std::move(aOptions))
{
}

ValidityConfirmer::~ValidityConfirmer()
{
  Stop();
}

void
ValidityConfirmer::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
ValidityConfirmer::Stop()
{
  m_stop = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
ValidityConfirmer::Run()
{
  while (!m_stop) {
    const Deadline now = SteadyClock::now();
    Confirm(now);
    m_options.pause(now + kInterval);
  }
}

void
ValidityConfirmer::Confirm(Deadline aNow)
{
  const bool isNeeded = m_options.isNeeded();
  const std::optional<int64_t> version = isNeeded ? m_options.confirm(aNow + kTimeout) : std::nullopt;
  const std::lock_guard lock(m_mutex);
  if (version && (!m_newest || *version >= m_newest->version)) {
    m_newest = { .version = *version, .askedAt = aNow };
  } else if (!isNeeded) {
    m_newest.reset();
  }
}

std::optional<wire::Validity>
ValidityConfirmer::ValidityFor(Deadline aReceivedAt, Deadline aNow) const
{
  using std::chrono::milliseconds;
  const std::lock_guard lock(m_mutex);
  if (!m_newest) {
    return std::nullopt;
  }
  // Both are rounded so that the node's lease gets shorter rather than longer.
  const auto age = std::chrono::ceil<milliseconds>(aNow - m_newest->askedAt);
  const auto held = std::chrono::floor<milliseconds>(aNow - aReceivedAt);
  if (age >= m_options.longestAge) {
    return std::nullopt;
  }
  wire::Validity validity;
  validity.version = m_newest->version;
  validity.ageMillis = static_cast<int32_t>(age.count());
  validity.heldMillis = static_cast<int32_t>(held.count());
  return validity;
}

} // namespace mimosarun
