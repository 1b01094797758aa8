#pragma once

#include "common/clock.h"

#include <algorithm>
#include <cstddef>

namespace mimosarun {

/** Tells for how long the peer of a connection has acknowledged none of the bytes that it lacks. */
class AcknowledgementWatch
{
public:
  explicit AcknowledgementWatch(Deadline aStartedAt)
    : m_lastProgressAt(aStartedAt)
  {
  }

  /** Records how many bytes were written so far, and how many of them the peer hasn't acknowledged. */
  void Record(size_t aWrittenBytes, size_t aUnacknowledgedBytes, Deadline aNow)
  {
    const size_t acknowledgedBytes = aWrittenBytes - std::min(aWrittenBytes, aUnacknowledgedBytes);
    if (aUnacknowledgedBytes == 0 || acknowledgedBytes > m_acknowledgedBytes) {
      m_lastProgressAt = aNow;
    }
    m_acknowledgedBytes = std::max(m_acknowledgedBytes, acknowledgedBytes);
  }

  /** Returns when the peer had acknowledged everything or acknowledged further bytes, as last recorded. */
  Deadline LastProgressAt() const { return m_lastProgressAt; }

private:
  Deadline m_lastProgressAt;
  size_t m_acknowledgedBytes = 0;
};

} // namespace mimosarun
