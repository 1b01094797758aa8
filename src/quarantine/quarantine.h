#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** The requests that no target may run for a time, by their fingerprints. Thread-safe. */
class Quarantine
{
public:
  /** Adds requests, or extends the time of those that are listed. */
  void Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow);

  /** Returns until when a request is listed, if it is. */
  std::optional<Deadline> ListedUntil(const std::string& aFingerprint, Deadline aNow) const;

  std::vector<wire::QuarantinedRequest> All(Deadline aNow) const;

  /** Returns false only if nothing is listed, so that fingerprints need not be computed. Doesn't lock. */
  bool MayListRequests() const { return m_size > 0; }

private:
  void RemoveExpiredLocked(Deadline aNow);

  mutable std::mutex m_mutex;
  std::map<std::string, Deadline> m_listedUntil;
  std::atomic<size_t> m_size{ 0 };
};

} // namespace mimosarun
