#include "target/crashwatch.h"

#include "common/log.h"
#include "common/random.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <utility>

namespace mimosarun {

/** The connections of a process that ends break nearly together; one probe serves them all. */
static constexpr std::chrono::milliseconds kProbeDelay{ 25 };
/** In this time a target that has dropped abandoned calls mostly responds to others. */
static constexpr std::chrono::milliseconds kAbandonedProbeDelay{ 100 };
static constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
/** A response that a target sent before it ended may be read this much later than the end of a connection. */
static constexpr std::chrono::milliseconds kReadDelay{ 25 };
/** Shorter than the time that a target takes to start again. */
static constexpr std::chrono::milliseconds kSameCrashTime{ 500 };
/** Bounds a report on a target with very many calls in flight to some 40 KB. */
static constexpr size_t kMaximumFingerprints = 1024;

CrashWatch::CrashWatch(EventLoops& aLoops, const CompletedRuns& aRuns, Listener aListener)
  : m_loops(aLoops)
  , m_runs(aRuns)
  , m_listener(std::move(aListener))
{
}

void
CrashWatch::RecordBreak(const BrokenCall& aCall)
{
  const std::lock_guard lock(m_mutex);
  m_target = aCall.target;
  m_address = aCall.address;
  if (m_broken.contains(aCall.fingerprint) || MakeRoomLocked(aCall.fingerprint)) {
    const Break newest{ .at = SteadyClock::now(), .isAbandoned = aCall.isAbandoned };
    Break& entry = m_broken.try_emplace(aCall.fingerprint, newest).first->second;
    entry.isAbandoned = entry.isAbandoned && aCall.isAbandoned;
  }
  ScheduleProbeLocked();
}

bool
CrashWatch::MakeRoomLocked(const std::string& aFingerprint)
{
  if (m_broken.size() < kMaximumFingerprints) {
    return true;
  }
  if (m_runs.ProvenSince(aFingerprint)) {
    return false;
  }
  const auto proven = std::ranges::find_if(
    m_broken, [this](const auto& aEntry) { return m_runs.ProvenSince(aEntry.first).has_value(); });
  if (proven == m_broken.end()) {
    return false;
  }
  m_broken.erase(proven);
  return true;
}

void
CrashWatch::RecordResponse(const std::string& aTarget)
{
  const std::lock_guard lock(m_mutex);
  m_respondingTarget = aTarget;
  m_lastResponseAt = SteadyClock::now();
}

void
CrashWatch::SetLeaving(const std::string& aTarget, bool aIsLeaving)
{
  const std::lock_guard lock(m_mutex);
  if (aIsLeaving) {
    m_leavingTarget = aTarget;
  } else if (m_leavingTarget == aTarget) {
    m_leavingTarget.clear();
  }
}

void
CrashWatch::RemoveDroppedLocked()
{
  if (m_respondingTarget != m_target) {
    return;
  }
  std::erase_if(m_broken, [this](const auto& aEntry) {
    const Break& entry = aEntry.second;
    return entry.isAbandoned && entry.at + kReadDelay < m_lastResponseAt;
  });
}

std::optional<Deadline>
CrashWatch::ProbeTimeLocked() const
{
  std::optional<Deadline> earliest;
  for (const auto& [fingerprint, entry] : m_broken) {
    const Deadline dueAt = entry.at + (entry.isAbandoned ? kAbandonedProbeDelay : kProbeDelay);
    earliest = earliest ? std::min(*earliest, dueAt) : dueAt;
  }
  return earliest;
}

void
CrashWatch::ScheduleProbeLocked()
{
  const std::optional<Deadline> dueAt = ProbeTimeLocked();
  if (!dueAt || (m_scheduledFor && *m_scheduledFor <= *dueAt)) {
    return;
  }
  m_scheduledFor = dueAt;
  m_loops.First().RunAt(*dueAt, [this, time = *dueAt] { OnProbeDue(time); });
}

void
CrashWatch::OnProbeDue(Deadline aScheduledFor)
{
  Address address;
  std::vector<std::string> fingerprints;
  {
    const std::lock_guard lock(m_mutex);
    if (m_scheduledFor != aScheduledFor) {
      return;
    }
    m_scheduledFor.reset();
    RemoveDroppedLocked();
    const std::optional<Deadline> dueAt = ProbeTimeLocked();
    if (!dueAt || *dueAt > SteadyClock::now()) {
      ScheduleProbeLocked();
      return;
    }
    address = m_address;
    for (const auto& [fingerprint, entry] : std::exchange(m_broken, {})) {
      fingerprints.push_back(fingerprint);
    }
  }
  Probe(address, fingerprints);
}

void
CrashWatch::Probe(const Address& aAddress, const std::vector<std::string>& aFingerprints)
{
  using boost::asio::ip::tcp;
  boost::system::error_code invalid;
  const auto host = boost::asio::ip::make_address(aAddress.host, invalid);
  if (invalid) {
    return;
  }
  EventLoop& loop = m_loops.First();
  const auto socket = std::make_shared<tcp::socket>(loop.Context());
  socket->async_connect(tcp::endpoint(host, aAddress.port),
                        [this, socket, aFingerprints](const boost::system::error_code& aError) {
                          if (aError == boost::asio::error::connection_refused) {
                            ReportCrash(aFingerprints);
                          }
                        });
  loop.RunAt(SteadyClock::now() + kProbeTimeout, [weak = std::weak_ptr(socket)] {
    if (const auto connecting = weak.lock()) {
      connecting->close();
    }
  });
}

std::string
CrashWatch::CrashIdentifierLocked(Deadline aNow)
{
  const bool isSameCrash =
    m_lastCrash && m_lastCrash->target == m_target && aNow < m_lastCrash->reportedAt + kSameCrashTime;
  if (!isSameCrash) {
    m_lastCrash = { .identifier = RandomIdentifier(), .target = m_target, .reportedAt = aNow };
  }
  return m_lastCrash->identifier;
}

void
CrashWatch::ReportCrash(const std::vector<std::string>& aFingerprints)
{
  wire::TargetCrash crash;
  {
    const std::lock_guard lock(m_mutex);
    if (m_target == m_leavingTarget) {
      return;
    }
    crash.identifier = CrashIdentifierLocked(SteadyClock::now());
    crash.target = m_target;
  }
  for (const std::string& fingerprint : aFingerprints) {
    wire::CrashSuspect suspect;
    suspect.fingerprint = fingerprint;
    if (const std::optional<Deadline> since = m_runs.ProvenSince(fingerprint)) {
      suspect.__set_provenMillisAgo(MillisSince(*since));
    }
    crash.suspects.push_back(std::move(suspect));
  }
  const auto proven = std::ranges::count_if(
    crash.suspects, [](const wire::CrashSuspect& aSuspect) { return aSuspect.__isset.provenMillisAgo; });
  Log(Event::TargetCrashed,
      { { "target", crash.target }, { "calls", crash.suspects.size() }, { "proven", proven } });
  m_listener(crash);
}

} // namespace mimosarun
