#pragma once

#include "quarantine/quarantine.h"
#include "quarantine/suspect.h"

#include <functional>
#include <list>
#include <set>

namespace mimosarun {

/**
 * Counts, at a control replica, the targets that ended while they ran a request, and quarantines the request
 * after the third. The requests that ran beside it are counted too, until nodes report that they run to their
 * end again and again. Thread-safe.
 */
class CrashLedger
{
public:
  /** Is called without a lock after each change of the lists of quarantined and suspected requests. */
  using Listener = std::function<void()>;

  explicit CrashLedger(Listener aListener);

  /** Counts the end of a target once, however often it is reported. */
  void Record(const wire::TargetCrash& aCrash, Deadline aNow);

  /** Notes that a target runs requests to their end, and which suspects are among them. */
  void RecordRuns(const wire::ProvenRuns& aRuns, Deadline aNow);

  /** Adds requests that another replica has quarantined. */
  void Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow);

  /** Quarantines the requests that had the time to clear themselves; to be called every few hundred ms. */
  void EvaluateSuspects(Deadline aNow);

  /** Returns the state of both lists, which names this object by a random number. */
  wire::QuarantineMark Mark() const;

  std::vector<wire::QuarantinedRequest> Quarantined(Deadline aNow) const { return m_quarantine.All(aNow); }

  /** Returns the fingerprints of the requests of which nodes are asked whether they run to their end. */
  std::vector<std::string> Suspects() const;

private:
  /** A suspect and its place in m_recency. */
  struct Entry
  {
    Suspect suspect;
    std::list<std::string>::iterator recencyPosition;
  };

  /** What follows from a report or from the passing of time. */
  struct Change
  {
    std::vector<wire::QuarantinedRequest> quarantined;
    bool isListChanged = false;
  };

  Suspect& FindOrAddLocked(const std::string& aFingerprint);
  void RemoveLocked(const std::string& aFingerprint);
  /** Decides on some requests, and updates the list of suspects. */
  Change EvaluateLocked(const std::set<std::string>& aFingerprints, Deadline aNow);
  /** Returns the ends of which a suspect is the likely cause. */
  std::set<std::string> ExplainedLocked() const;
  /** Quarantines a request; clears those that ran beside it of the ends that it explains. */
  wire::QuarantinedRequest QuarantineLocked(const std::string& aFingerprint, const QuarantineScope& aScope);
  /** Lists a request, or removes it from the list; returns whether the list has changed. */
  bool UpdateListLocked(const std::string& aFingerprint, Deadline aNow);
  void Publish(const Change& aChange, Deadline aNow);

  const Listener m_listener;
  const int64_t m_epoch;
  Quarantine m_quarantine;
  mutable std::mutex m_mutex;
  int64_t m_revision = 0;
  std::map<std::string, Entry> m_suspects;
  /** Fingerprints in m_suspects, the most recent first. */
  std::list<std::string> m_recency;
  /** Suspects of which nodes are asked. */
  std::set<std::string> m_listed;
};

} // namespace mimosarun
