#pragma once

#include "common/clock.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * The requests, at a node, that control suspects of ending targets, and of which it wants to know whether
 * they still run to their end. Thread-safe.
 */
class SuspectList
{
public:
  /** Replaces the list by fingerprints; those that stay listed keep their state. */
  void Set(const std::vector<std::string>& aFingerprints, Deadline aNow);

  /** Whether nothing is listed. Doesn't lock. */
  bool IsEmpty() const { return m_isEmpty; }

  /**
   * Returns whether a listed request is to be reported as proven since a time, and notes that it is. Proofs
   * from before the listing say nothing new, and the same ones aren't wanted again and again.
   */
  bool TakeProofIfDue(const std::string& aFingerprint, Deadline aProvenSince, Deadline aNow);

  /** Returns whether it is to be reported that some request has run to its end, and notes that it is. */
  bool TakeActivityReportIfDue(Deadline aNow);

private:
  void ExpireLocked(Deadline aNow);

  std::atomic<bool> m_isEmpty{ true };
  std::mutex m_mutex;
  /** From when on a proof of a request counts. */
  std::map<std::string, Deadline> m_provenFrom;
  Deadline m_nextActivityReport{};
  Deadline m_expiresAt{};
};

} // namespace mimosarun
