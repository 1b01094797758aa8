#pragma once

#include "common/clock.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mimosarun {

/**
 * Calls that aren't idempotent and that arrived at this gate. If an entry sends a call again because its
 * connection broke, the second one is attached to the first instead of running too. A call is kept while it
 * runs and a while longer, for its response; its identifier is kept for as long as a copy may arrive.
 * Thread-safe.
 */
template<typename Call>
class NonIdempotentCalls
{
public:
  /** What is known of a call that arrives. */
  struct Arrival
  {
    /** Whether a call with the same identifier has arrived before. */
    bool isRepeated = false;
    /** That call, unless it ended too long ago. */
    std::shared_ptr<Call> earlierCall;
  };

  /** Adds a call, unless there is one with its identifier. */
  Arrival Add(const std::string& aId, const std::shared_ptr<Call>& aCall, Deadline aDeadline, Deadline aNow)
  {
    const std::lock_guard lock(m_mutex);
    DropOld(aNow);
    const auto [position, isNew] = m_calls.try_emplace(
      aId, KnownCall{ .call = aCall, .neededUntil = aDeadline + kLateCopyTime, .endedAt = {} });
    if (!isNew) {
      return { .isRepeated = true, .earlierCall = position->second.call };
    }
    m_checks.emplace(position->second.neededUntil, aId);
    return {};
  }

  /** Records that a call has ended, with or without a response. */
  void RecordEnd(const std::string& aId, Deadline aNow)
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(aId);
    if (found != m_calls.end()) {
      found->second.endedAt = aNow;
      m_checks.emplace(aNow + kResponseRetentionTime, aId);
    }
  }

  /** Removes a call that was never sent to a target, so that the entry may send it again. */
  void Remove(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    m_calls.erase(aId);
  }

private:
  /** Within this time after its end an entry asks again for the response of a call. */
  static constexpr std::chrono::milliseconds kResponseRetentionTime{ 15000 };
  /** A copy of a call that was sent before its deadline may be this late. */
  static constexpr std::chrono::milliseconds kLateCopyTime{ 15000 };

  struct KnownCall
  {
    std::shared_ptr<Call> call;
    /** Until then a copy of the call may arrive. */
    Deadline neededUntil;
    std::optional<Deadline> endedAt;
  };

  void DropOld(Deadline aNow)
  {
    while (!m_checks.empty() && m_checks.begin()->first <= aNow) {
      DropUnneeded(m_checks.begin()->second, aNow);
      m_checks.erase(m_checks.begin());
    }
  }

  void DropUnneeded(const std::string& aId, Deadline aNow)
  {
    const auto found = m_calls.find(aId);
    if (found == m_calls.end()) {
      return;
    }
    KnownCall& known = found->second;
    if (!known.endedAt || aNow < *known.endedAt + kResponseRetentionTime) {
      return;
    }
    known.call.reset();
    if (aNow >= known.neededUntil) {
      m_calls.erase(found);
    }
  }

  std::mutex m_mutex;
  std::map<std::string, KnownCall> m_calls;
  /** Times at which something of a call may have become unneeded. */
  std::multimap<Deadline, std::string> m_checks;
};

} // namespace mimosarun
