#include "control/quotaservice.h"

#include "common/log.h"

#include <algorithm>

namespace mimosarun {

/** Shorter than any election timeout, so that no other replica leads within it after a confirmation. */
static constexpr std::chrono::milliseconds kConfirmationTime{ 500 };
static constexpr std::chrono::milliseconds kConfirmationInterval{ 200 };
static constexpr std::chrono::milliseconds kConfirmationTimeout{ 400 };
/** Calls wait no longer than about this for a reply. */
static constexpr std::chrono::milliseconds kFirstConfirmationWait{ 70 };
/** Leadership is confirmed until this long after the last request. */
static constexpr std::chrono::seconds kUseTime{ 10 };
static constexpr size_t kRecentConfigurations = 4;

QuotaService::QuotaService(Options aOptions)
  : m_options(std::move(aOptions))
{
}

QuotaService::~QuotaService()
{
  Stop();
}

void
QuotaService::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
QuotaService::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_one();
  m_confirmed.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

// --- leadership ------------------------------------------------------------------------------------------

void
QuotaService::RememberLocked(const SnapshotPointer& aSnapshot)
{
  m_recent.emplace(aSnapshot->version, aSnapshot);
  if (m_recent.size() > kRecentConfigurations) {
    m_recent.erase(m_recent.begin());
  }
}

void
QuotaService::UpdateLocked(const wire::GroupStatus& aStatus, const SnapshotPointer& aSnapshot, Deadline aNow)
{
  RememberLocked(aSnapshot);
  if (aStatus.leader != m_options.name) {
    m_ledger.reset();
    return;
  }
  if (m_ledger == nullptr || m_term != aStatus.term) {
    m_ledger = std::make_unique<QuotaLedger>(
      QuotaLedger::Options{ .tolerance = m_options.tolerance, .startedAt = aNow });
    for (const auto& [version, snapshot] : m_recent) {
      m_ledger->AddVersion(version, snapshot->configuration.teams);
    }
    m_term = aStatus.term;
    m_version = -1;
    m_confirmedAt = {};
  }
  if (aSnapshot->version == m_version) {
    return;
  }
  const std::map<std::string, Team>& teams = aSnapshot->configuration.teams;
  const bool isNew = m_version < 0;
  m_version = aSnapshot->version;
  m_ledger->SetTeams(m_version, teams, aNow);
  m_hasLimits = std::any_of(
    teams.begin(), teams.end(), [](const auto& aTeam) { return aTeam.second.requestsPerSecond > 0; });
  if (isNew && m_hasLimits) {
    Log(Event::QuotaLedgerStarted, { { "term", m_term }, { "version", m_version } });
  }
}

bool
QuotaService::IsInUseLocked(Deadline aNow) const
{
  return m_ledger != nullptr && m_hasLimits && aNow < m_requestedAt + kUseTime;
}

bool
QuotaService::IsConfirmedLocked(Deadline aNow) const
{
  return m_ledger != nullptr && aNow < m_confirmedAt + kConfirmationTime;
}

void
QuotaService::Confirm()
{
  const Deadline askedAt = SteadyClock::now();
  const int64_t term = m_options.status().term;
  const wire::ReadIndex confirmation = m_options.confirm(askedAt + kConfirmationTimeout);
  // The confirmation may be of a later term than that of the ledger.
  const bool isSameTerm = m_options.status().term == term;
  {
    const std::lock_guard lock(m_mutex);
    if (confirmation.confirmed && isSameTerm && m_term == term) {
      m_confirmedAt = std::max(m_confirmedAt, askedAt);
    }
  }
  m_confirmed.notify_all();
}

void
QuotaService::Run()
{
  while (true) {
    const wire::GroupStatus status = m_options.status();
    const SnapshotPointer snapshot = m_options.configuration();
    bool isInUse = false;
    {
      const std::lock_guard lock(m_mutex);
      const Deadline now = SteadyClock::now();
      UpdateLocked(status, snapshot, now);
      isInUse = IsInUseLocked(now);
    }
    if (isInUse) {
      Confirm();
    }
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, kConfirmationInterval, [this] {
      const Deadline now = SteadyClock::now();
      return m_stop || (IsInUseLocked(now) && !IsConfirmedLocked(now) && m_isAwaited);
    });
    m_isAwaited = false;
    if (m_stop) {
      return;
    }
  }
}

// --- requests --------------------------------------------------------------------------------------------

wire::QuotaReply
QuotaService::Handle(const wire::QuotaRequest& aRequest)
{
  const wire::GroupStatus status = m_options.status();
  const SnapshotPointer snapshot = m_options.configuration();
  std::unique_lock lock(m_mutex);
  m_requestedAt = SteadyClock::now();
  UpdateLocked(status, snapshot, m_requestedAt);
  if (m_ledger != nullptr && !IsConfirmedLocked(m_requestedAt)) {
    m_isAwaited = true;
    m_wake.notify_one();
    m_confirmed.wait_until(lock, m_requestedAt + kFirstConfirmationWait, [this] {
      return m_stop || IsConfirmedLocked(SteadyClock::now());
    });
  }
  const Deadline now = SteadyClock::now();
  if (IsConfirmedLocked(now)) {
    return m_ledger->Handle(aRequest, now);
  }
  wire::QuotaReply reply;
  reply.leader = status.leader == m_options.name ? "" : status.leader;
  return reply;
}

std::optional<std::vector<QuotaState>>
QuotaService::States()
{
  const std::lock_guard lock(m_mutex);
  if (m_ledger == nullptr) {
    return std::nullopt;
  }
  return m_ledger->States(SteadyClock::now());
}

} // namespace mimosarun
