#include "control/reportstore.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr std::chrono::minutes kReportLifetime{ 10 };
static constexpr std::chrono::milliseconds kMaxSampleAge{ 60000 };
static constexpr size_t kOwnDomainSampleSize = 12;
static constexpr size_t kOtherDomainSampleSize = 4;
/** Longer than it takes until the reports of its failure domain contain a started member. */
static constexpr std::chrono::seconds kStartedMemberLifetime{ 15 };

void
ReportStore::AddReport(const wire::DomainReport& aReport, std::chrono::milliseconds aAge)
{
  const std::lock_guard lock(m_mutex);
  const Deadline reportedAt = SteadyClock::now() - aAge;
  StoredReport& stored = m_reports[aReport.relay];
  if (reportedAt >= stored.reportedAt) {
    std::vector<wire::Member> sample = std::move(stored.report.sample);
    stored = { .report = aReport, .reportedAt = reportedAt };
    // A relay sends its members only after a change.
    if (stored.report.sample.empty()) {
      stored.report.sample = std::move(sample);
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
  for (const auto& [relay, stored] : m_reports) {
    reports.push_back(stored.report);
    std::vector<wire::Member>& members = reports.back().sample;
    members.resize(aWithMembers ? std::min(members.size(), kOtherDomainSampleSize) : 0);
    reports.back().ageMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - stored.reportedAt).count();
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
    const auto known = newest.find(report.failureDomain);
    if (known == newest.end() || report.ageMillis < known->second.ageMillis) {
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
  std::map<std::string, std::set<std::string>> sampledNames;
  const auto addMember = [&](const wire::Member& aMember) {
    const bool ownDomain = aMember.failureDomain == aFailureDomain;
    std::set<std::string>& names = sampledNames[aMember.failureDomain];
    const bool hasRoom = names.size() < (ownDomain ? kOwnDomainSampleSize : kOtherDomainSampleSize);
    if (hasRoom && names.insert(aMember.name).second) {
      sample.push_back(aMember);
    }
  };
  const std::lock_guard lock(m_mutex);
  // Started members first, since their incarnations are newer than those in the reports.
  for (const auto& [name, started] : m_startedMembers) {
    addMember(started.member);
  }
  const Deadline now = SteadyClock::now();
  for (const auto& [relay, stored] : m_reports) {
    const bool fresh = now <= stored.reportedAt + kMaxSampleAge;
    for (const wire::Member& member : fresh ? stored.report.sample : std::vector<wire::Member>()) {
      addMember(member);
    }
  }
  return sample;
}

} // namespace mimosarun
