#pragma once

#include "caller/balancer.h"
#include "caller/callhistory.h"
#include "caller/entryattempt.h"
#include "configuration/configuration.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosarun {

/** Returns the name that records give to an attempt that failed. */
const char*
NameOf(ForwardResult aResult);

/** The open attempts of one call, whose ends it reports to the balancer. Runs on the loop of the call. */
class OpenAttempts
{
public:
  using AttemptPointer = std::shared_ptr<EntryAttempt>;

  /** The balancer and the route of the call must outlive this object. */
  OpenAttempts(Balancer& aBalancer, const Route& aRoute);

  void Add(AttemptPointer aAttempt) { m_attempts.push_back(std::move(aAttempt)); }
  bool IsEmpty() const { return m_attempts.empty(); }
  size_t Count() const { return m_attempts.size(); }

  /** Returns the nodes whose gates the attempts were sent to. */
  std::set<std::string> Nodes() const;

  /** Returns whether there is an attempt whose gate isn't silent. */
  bool HasLiveAttempt() const;

  /** Returns whether the response to an attempt has begun. */
  bool HasResponse() const;

  /** Returns whether a gate has responded to any call since its attempt was sent. */
  bool HasRespondingGate() const;

  /**
   * Marks an attempt whose gate acknowledges nothing, and returns a record of that. The balancer counts it as
   * failed, unless it is answered later.
   */
  AttemptRecord RecordSilence(EntryAttempt& aAttempt);

  /** Removes an attempt that has ended and returns its record. */
  AttemptRecord Finish(const EntryAttempt& aAttempt,
                       AttemptOutcome aOutcome,
                       const std::string& aOutcomeName);

  /** Removes an attempt that has failed and returns its record. */
  AttemptRecord FinishFailed(const EntryAttempt& aAttempt, ForwardResult aResult);

  /** Cancels all attempts but one; null cancels all. */
  void CancelExcept(const EntryAttempt* aKept);

private:
  static AttemptRecord RecordOf(const EntryAttempt& aAttempt, const std::string& aOutcomeName);
  void ReportResult(const EntryAttempt& aAttempt, AttemptOutcome aOutcome);

  Balancer& m_balancer;
  const Route& m_route;
  std::vector<AttemptPointer> m_attempts;
};

} // namespace mimosarun
