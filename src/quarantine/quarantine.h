#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <atomic>
#include <compare>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * The requests, by their fingerprints, that no target may run for a time, or that only the target of one node
 * may not run. Thread-safe.
 */
class Quarantine
{
public:
  /** Adds requests, or extends the time of those that are listed; returns whether any is new. */
  bool Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow);

  /** Returns until when no target may run a request, if it is listed so. */
  std::optional<Deadline> ListedUntil(const std::string& aFingerprint, Deadline aNow) const;

  /** Returns the nodes whose targets may not run a request, though others may. */
  std::set<std::string> ExcludedNodes(const std::string& aFingerprint, Deadline aNow) const;

  std::vector<wire::QuarantinedRequest> All(Deadline aNow) const;

  /** Returns false only if nothing is listed, so that fingerprints need not be computed. Doesn't lock. */
  bool MayListRequests() const { return m_size > 0; }

private:
  /** A request, and the only node whose target may not run it; absent if no target may. */
  struct Key
  {
    std::string fingerprint;
    std::optional<std::string> node;

    auto operator<=>(const Key&) const = default;
  };

  static Key KeyOf(const wire::QuarantinedRequest& aRequest);
  void RemoveExpiredLocked(Deadline aNow);

  mutable std::mutex m_mutex;
  std::map<Key, Deadline> m_listedUntil;
  std::atomic<size_t> m_size{ 0 };
};

} // namespace mimosarun
