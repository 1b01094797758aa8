#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "http/eventloop.h"
#include "wire/gen-cpp/mesh_types.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace mimosarun {

/**
 * Tells the end of a target's process from a connection that broke for another reason: when calls break, it
 * connects to the target, and only a refused connection means that the process is gone. Thread-safe.
 */
class CrashWatch
{
public:
  /** Is called on an event loop with the requests whose calls broke when the target ended. */
  using Listener = std::function<void(const wire::TargetCrash& aCrash)>;

  CrashWatch(EventLoops& aLoops, Listener aListener);

  /** Notes that the connection of a call broke while the target may have run its request. */
  void RecordBreak(const std::string& aTarget, const Address& aAddress, const std::string& aFingerprint);

private:
  /** A crash that was reported, since some of its calls may break a little later than the others. */
  struct ReportedCrash
  {
    std::string identifier;
    std::string target;
    Deadline reportedAt;
  };

  void Probe(const Address& aAddress);
  void OnProbeResult(bool aIsRefused);
  std::string CrashIdentifierLocked(Deadline aNow);

  EventLoops& m_loops;
  const Listener m_listener;
  std::mutex m_mutex;
  std::string m_target;
  /** Fingerprints of the calls that broke since the last probe. */
  std::set<std::string> m_broken;
  std::optional<ReportedCrash> m_lastCrash;
};

} // namespace mimosarun
