#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "http/eventloop.h"
#include "target/completedruns.h"
#include "wire/gen-cpp/mesh_types.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** A call whose connection to the target has ended before its response. */
struct BrokenCall
{
  std::string target;
  Address address;
  std::string fingerprint;
  /** Whether nobody waited for the response any more, so that the target may have dropped the call. */
  bool isAbandoned = false;
};

/**
 * Tells the end of a target's process from a connection that ended for another reason: when calls break, it
 * connects to the target, and only a refused connection means that the process is gone. Where only abandoned
 * calls have ended, which targets do with every such call, a later response of the target saves the
 * connection. Thread-safe.
 */
class CrashWatch
{
public:
  /** Is called on an event loop with the requests whose calls broke when the target ended. */
  using Listener = std::function<void(const wire::TargetCrash& aCrash)>;

  /** @param aRuns what has run to its end at the target */
  CrashWatch(EventLoops& aLoops, const CompletedRuns& aRuns, Listener aListener);

  /** Notes that the connection of a call ended while the target may have run its request. */
  void RecordBreak(const BrokenCall& aCall);

  /** Notes that a target has responded, so its process runs. */
  void RecordResponse(const std::string& aTarget);

  /** Sets whether a target is leaving, so that the end of its process is no crash. */
  void SetLeaving(const std::string& aTarget, bool aIsLeaving);

private:
  /** A crash that was reported, since some of its calls may break a little later than the others. */
  struct ReportedCrash
  {
    std::string identifier;
    std::string target;
    Deadline reportedAt;
  };

  /** When the connection of a call ended, and whether the call was abandoned. */
  struct Break
  {
    Deadline at{};
    bool isAbandoned = false;
  };

  /** Makes room for a call of which there is no proof that it runs to its end; returns whether there is. */
  bool MakeRoomLocked(const std::string& aFingerprint);
  void ScheduleProbeLocked();
  void OnProbeDue(Deadline aScheduledFor);
  /** Forgets the abandoned calls after whose end the target has responded. */
  void RemoveDroppedLocked();
  /** Returns when the target is to be probed because of the calls that broke, if any did. */
  std::optional<Deadline> ProbeTimeLocked() const;
  void Probe(const Address& aAddress, const std::vector<std::string>& aFingerprints);
  void ReportCrash(const std::vector<std::string>& aFingerprints);
  std::string CrashIdentifierLocked(Deadline aNow);

  EventLoops& m_loops;
  const CompletedRuns& m_runs;
  const Listener m_listener;
  std::mutex m_mutex;
  std::string m_target;
  Address m_address;
  /** Calls that broke since the last probe, by their fingerprints. */
  std::map<std::string, Break> m_broken;
  std::string m_leavingTarget;
  std::string m_respondingTarget;
  Deadline m_lastResponseAt{};
  std::optional<Deadline> m_scheduledFor;
  std::optional<ReportedCrash> m_lastCrash;
};

} // namespace mimosarun
