#include "target/crashwatch.h"

#include "common/log.h"
#include "common/random.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace mimosarun {

/** The connections of a process that ends break nearly together; one probe serves them all. */
static constexpr std::chrono::milliseconds kProbeDelay{ 25 };
static constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
/** Shorter than the time that a target takes to start again. */
static constexpr std::chrono::milliseconds kSameCrashTime{ 500 };
/** Bounds a report on a target with very many calls in flight. */
static constexpr size_t kMaximumFingerprints = 64;

CrashWatch::CrashWatch(EventLoops& aLoops, Listener aListener)
  : m_loops(aLoops)
  , m_listener(std::move(aListener))
{
}

void
CrashWatch::RecordBreak(const std::string& aTarget, const Address& aAddress, const std::string& aFingerprint)
{
  {
    const std::lock_guard lock(m_mutex);
    const bool isProbePending = !m_broken.empty();
    m_target = aTarget;
    if (m_broken.size() < kMaximumFingerprints) {
      m_broken.insert(aFingerprint);
    }
    if (isProbePending) {
      return;
    }
  }
  m_loops.First().RunAt(SteadyClock::now() + kProbeDelay, [this, aAddress] { Probe(aAddress); });
}

void
CrashWatch::Probe(const Address& aAddress)
{
  using boost::asio::ip::tcp;
  boost::system::error_code invalid;
  const auto host = boost::asio::ip::make_address(aAddress.host, invalid);
  if (invalid) {
    OnProbeResult(false);
    return;
  }
  EventLoop& loop = m_loops.First();
  const auto socket = std::make_shared<tcp::socket>(loop.Context());
  socket->async_connect(tcp::endpoint(host, aAddress.port),
                        [this, socket](const boost::system::error_code& aError) {
                          OnProbeResult(aError == boost::asio::error::connection_refused);
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
CrashWatch::OnProbeResult(bool aIsRefused)
{
  wire::TargetCrash crash;
  {
    const std::lock_guard lock(m_mutex);
    const std::set<std::string> broken = std::exchange(m_broken, {});
    if (!aIsRefused) {
      return;
    }
    crash.identifier = CrashIdentifierLocked(SteadyClock::now());
    crash.target = m_target;
    crash.fingerprints.assign(broken.begin(), broken.end());
  }
  Log(Event::TargetCrashed, { { "target", crash.target }, { "calls", crash.fingerprints.size() } });
  m_listener(crash);
}

} // namespace mimosarun
