#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/** Where a request that ends targets may not run. */
struct QuarantineScope
{
  /** The only node whose target may not run it; absent if no target may. */
  std::optional<std::string> node;
};

/**
 * A request that ran when targets ended. Where it had never run to its end at those targets, it counts as the
 * cause after the third end. Where it had, the ends may be a coincidence, since a request that many callers
 * send is running at nearly every end: then it counts as the cause if it runs to its end nowhere in the time
 * that this takes, though others do, or if a further target ends under it. Times are those of the arrival of
 * reports.
 */
class Suspect
{
public:
  /**
   * Adds the end of a target, unless it is known.
   *
   * @param aProvenSince since when the request had run to its end there again and again, if it had
   */
  void AddCrash(const wire::TargetCrash& aCrash, std::optional<Deadline> aProvenSince, Deadline aNow);

  /** Notes that since a time the request has run to its end at a target again and again. */
  void AddProof(const wire::TargetPlace& aPlace, Deadline aProvenSince);

  /** Notes that a service runs some requests to their end. */
  void RecordActivity(const std::string& aService, Deadline aNow);

  /** Clears the request of an end that another one explains, if it had been proven at that target. */
  void Explain(const std::set<std::string>& aCrashes);

  /**
   * Returns where the request is to be quarantined, if it is.
   *
   * @param aExplained ends of which another request is the likely cause
   */
  std::optional<QuarantineScope> Evaluate(const std::set<std::string>& aExplained, Deadline aNow) const;

  /** Whether it never ran to its end at the targets of two ends or more, so that it may explain them. */
  bool IsLikelyCause() const;

  /** Whether proofs could still clear the request of ends for which it may be quarantined. */
  bool NeedsProof(Deadline aNow) const;

  /** Returns the identifiers of the ends that count. */
  std::set<std::string> Crashes() const;

  /** Notes that the request isn't sent to a node any more, so that earlier ends there don't count. */
  void ExcludeNode(const std::string& aNode);

  /** Forgets old ends. */
  void Expire(Deadline aNow);

private:
  /** The end of a target under the request. */
  struct Crash
  {
    std::string identifier;
    wire::TargetPlace place;
    Deadline at{};
    /** Whether the request had run to its end again and again at this target before, or may have. */
    bool isDoubtful = false;
    /** Since when it had run so often; absent if it hadn't. */
    std::optional<Deadline> provenSince;
    /** Whether it has done so since at another target, and at another one of the same version. */
    bool isProvenElsewhere = false;
    bool isProvenAtVersion = false;

    /** Whether the runs since then show that the request doesn't end targets of this version. */
    bool IsExcused() const { return isDoubtful && isProvenAtVersion; }
  };

  /** Returns the times of the ends that may be due to the request, in ascending order. */
  std::vector<Deadline> CountedTimes(const std::set<std::string>& aExplained) const;
  size_t CountCertain() const;
  /** Returns how long the request may take until it has run to its end again and again. */
  std::chrono::milliseconds ProofTime() const;
  /** Returns whether the request had the time to clear itself of the ends. */
  bool HadTimeForProof(const std::vector<Deadline>& aCountedTimes, Deadline aNow) const;
  bool IsAtOneNode() const;
  std::optional<std::string> NodeWithManyCrashes() const;

  std::vector<Crash> m_crashes;
  /** Since when, after the last end, the service is known to run some requests to their end. */
  std::optional<Deadline> m_activeSince;
  /** Nodes to which the request isn't sent already. */
  std::set<std::string> m_excludedNodes;
};

} // namespace mimosarun
