#pragma once

#include "quarantine/quarantine.h"

#include <functional>
#include <list>
#include <set>

namespace mimosarun {

/**
 * Counts, at a control replica, the targets that ended while they ran a request, and quarantines the request
 * after the third. The requests that ran beside it are counted too, but rarely meet three ends. Thread-safe.
 */
class CrashLedger
{
public:
  /** Is called without a lock after each change of the list of quarantined requests. */
  using Listener = std::function<void()>;

  explicit CrashLedger(Listener aListener);

  /** Counts the end of a target once, however often it is reported. */
  void Record(const wire::TargetCrash& aCrash, Deadline aNow);

  /** Adds requests that another replica has quarantined. */
  void Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow);

  /** Returns the state of the list, which names this object by a random number. */
  wire::QuarantineMark Mark() const;

  std::vector<wire::QuarantinedRequest> Quarantined(Deadline aNow) const { return m_quarantine.All(aNow); }

private:
  /** Ends of targets that ran one request. */
  struct Crashes
  {
    std::set<std::string> identifiers;
    std::list<std::string>::iterator recencyPosition;
  };

  /** Counts an end for a request; returns whether it is to be quarantined now. */
  bool CountLocked(const std::string& aFingerprint, const std::string& aCrash);

  const Listener m_listener;
  const int64_t m_epoch;
  Quarantine m_quarantine;
  mutable std::mutex m_mutex;
  int64_t m_revision = 0;
  std::map<std::string, Crashes> m_crashes;
  /** Fingerprints in m_crashes, the most recent first. */
  std::list<std::string> m_recency;
};

} // namespace mimosarun
