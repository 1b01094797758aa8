#include "control/reportstore.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr std::chrono::minutes kReportLifetime{ 10 };
static constexpr std::chrono::milliseconds kMaxSampleAge{ 60000 };
static constexpr size_t kOwnDomainSampleSize = 12;
static constexpr size_t kOtherDomainSampleSize = 4;
/** Until then the reports of a failure domain name a member that introduced itself. */
static constexpr std::chrono::seconds kStartedMemberLifetime{ 15 };

void
ReportStore::AddReport(const wire::DomainReport& aReport, std::chrono::milliseconds aAge)
{
  const std::lock_guard lock(m_mutex);
  const Deadline takenAt = SteadyClock::now() - aAge;
  StoredReport& held = m_reports[aReport.relay];
  if (takenAt >= held.reportedAt) {
    std::vector<wire::Member> sample = std::move(held.report.sample);
    held = { .report = aReport, .reportedAt = takenAt };
    // A relay sends its members only when something changed.
    if (held.report.sample.empty()) {
      held.report.sample = std::move(sample);
    }
  }
  std::erase_if(m_reports, [](const auto& aEntry) {
    return SteadyClock::now() - aEntry.second.reportedAt > kReportLifetime;
  });
}

void
ReportStore::AddStartedMembers(const std::vector<wire::Member>& aMembers)
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  std::erase_if(m_startedMembers, [now](const auto& aEntry) {
    return now > aEntry.second.receivedAt + kStartedMemberLifetime;
  });
  for (const wire::Member& member : aMembers) {
    m_startedMembers[member.name] = { .member = member, .receivedAt = now };
  }
}

std::vector<wire::DomainReport>
ReportStore::AllReports(bool aWithMembers) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::DomainReport> reports;
  for (const auto& [relay, held] : m_reports) {
    reports.push_back(held.report);
    std::vector<wire::Member>& members = reports.back().sample;
    members.resize(aWithMembers ? std::min(members.size(), kOtherDomainSampleSize) : 0);
    reports.back().ageMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - held.reportedAt).count();
  }
  return reports;
}

bool
ReportStore::EachReportHasMembers() const
{
  const std::lock_guard lock(m_mutex);
  return std::all_of(m_reports.begin(), m_reports.end(), [](const auto& aItem) {
    return !aItem.second.report.sample.empty();
  });
}

std::vector<wire::DomainReport>
ReportStore::NewestReportPerDomain() const
{
  std::map<std::string, wire::DomainReport> newest;
  for (wire::DomainReport& report : AllReports(false)) {
    const auto held = newest.find(report.failureDomain);
    if (held == newest.end() || report.ageMillis < held->second.ageMillis) {
      newest[report.failureDomain] = std::move(report);
    }
  }
  std::vector<wire::DomainReport> reports;
  for (auto& [domain, report] : newest) {
    reports.push_back(std::move(report));
  }
  return reports;
}

bool
ReportStore::HasFreshMembersOfOtherRegion(const std::string& aRegion) const
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& aItem) {
    const bool fresh = now <= aItem.second.reportedAt + kMaxSampleAge;
    return aItem.second.report.region != aRegion && fresh && !aItem.second.report.sample.empty();
  });
}

std::vector<wire::Member>
ReportStore::SampleMembers(const std::string& aFailureDomain) const
{
  std::vector<wire::Member> sample;
  std::map<std::string, std::set<std::string>> taken;
  const auto take = [&](const wire::Member& aMember) {
    const bool own = aMember.failureDomain == aFailureDomain;
    std::set<std::string>& names = taken[aMember.failureDomain];
    const bool room = names.size() < (own ? kOwnDomainSampleSize : kOtherDomainSampleSize);
    if (room && names.insert(aMember.name).second) {
      sample.push_back(aMember);
    }
  };
  const std::lock_guard lock(m_mutex);
  // The newest lives first.
  for (const auto& [name, introduced] : m_startedMembers) {
    take(introduced.member);
  }
  const Deadline now = SteadyClock::now();
  for (const auto& [relay, held] : m_reports) {
    const bool fresh = now <= held.reportedAt + kMaxSampleAge;
    for (const wire::Member& member : fresh ? held.report.sample : std::vector<wire::Member>()) {
      take(member);
    }
  }
  return sample;
}

} // namespace mimosarun
