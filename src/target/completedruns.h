#pragma once

#include "common/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace mimosarun {

/**
 * Remembers at a gate which requests run to their end at its target, again and again, so that they aren't
 * taken for the cause when the target ends while they run. What ran at another version of the target's
 * software proves nothing. The requests that ended last are kept. Thread-safe.
 */
class CompletedRuns
{
public:
  /** Sets what the target runs; forgets all requests if that has changed. */
  void SetTarget(const std::string& aService, const std::string& aVersion, Deadline aNow);

  /** Notes that a request has run to its end, by its fingerprint. */
  void Record(const std::string& aFingerprint, Deadline aNow);

  /** Whether the target has been watched for too short a time to know what runs to its end. */
  bool IsNew(Deadline aNow) const;

  /** Returns the latest time since which a request has ended often enough, or nothing if it hasn't. */
  std::optional<Deadline> ProvenSince(const std::string& aFingerprint) const;

private:
  /** Ends of a request that prove that it doesn't end the target. */
  static constexpr size_t kProvingRuns = 3;

  /** The last ends of a request, as a ring. */
  struct Ends
  {
    std::array<Deadline, kProvingRuns> times{};
    size_t count = 0;
    std::list<std::string>::iterator recencyPosition;
  };

  mutable std::mutex m_mutex;
  std::string m_service;
  std::string m_version;
  /** When what runs to its end at the target is known. */
  std::optional<Deadline> m_knownFrom;
  std::map<std::string, Ends> m_requests;
  /** Fingerprints in m_requests, the most recent first. */
  std::list<std::string> m_recency;
};

/** Returns the milliseconds since a time, as messages carry them. */
int64_t
MillisSince(Deadline aTime);

} // namespace mimosarun
