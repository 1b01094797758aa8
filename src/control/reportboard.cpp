#include "control/reportboard.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr std::chrono::minutes kForgetAfter{ 10 };
static constexpr std::chrono::milliseconds kSampleFreshness{ 60000 };
static constexpr size_t kSampleOfOwnDomain = 12;
static constexpr size_t kSampleOfOtherDomain = 4;
/** Until then the reports of a failure domain name a member that introduced itself. */
static constexpr std::chrono::seconds kIntroductionTime{ 15 };

void
ReportBoard::Take(const wire::DomainReport& aReport, std::chrono::milliseconds aAge)
{
  const std::lock_guard lock(m_mutex);
  const Deadline takenAt = SteadyClock::now() - aAge;
  Held& held = m_reports[aReport.relay];
  if (takenAt >= held.takenAt) {
    std::vector<wire::Member> sample = std::move(held.report.sample);
    held = { .report = aReport, .takenAt = takenAt };
    // A relay sends its members only when something changed.
    if (held.report.sample.empty()) {
      held.report.sample = std::move(sample);
    }
  }
  std::erase_if(m_reports,
                [](const auto& aEntry) { return SteadyClock::now() - aEntry.second.takenAt > kForgetAfter; });
}

void
ReportBoard::Introduce(const std::vector<wire::Member>& aMembers)
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  std::erase_if(m_introduced,
                [now](const auto& aEntry) { return now > aEntry.second.at + kIntroductionTime; });
  for (const wire::Member& member : aMembers) {
    m_introduced[member.name] = { .member = member, .at = now };
  }
}

std::vector<wire::DomainReport>
ReportBoard::Reports(bool aWithMembers) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::DomainReport> reports;
  for (const auto& [relay, held] : m_reports) {
    reports.push_back(held.report);
    std::vector<wire::Member>& members = reports.back().sample;
    members.resize(aWithMembers ? std::min(members.size(), kSampleOfOtherDomain) : 0);
    reports.back().ageMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - held.takenAt).count();
  }
  return reports;
}

bool
ReportBoard::KnowsMembersOfAll() const
{
  const std::lock_guard lock(m_mutex);
  return std::all_of(m_reports.begin(), m_reports.end(), [](const auto& aItem) {
    return !aItem.second.report.sample.empty();
  });
}

std::vector<wire::DomainReport>
ReportBoard::NewestOfEachDomain() const
{
  std::map<std::string, wire::DomainReport> newest;
  for (wire::DomainReport& report : Reports(false)) {
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
ReportBoard::KnowsOtherRegion(const std::string& aRegion) const
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& aItem) {
    const bool fresh = now <= aItem.second.takenAt + kSampleFreshness;
    return aItem.second.report.region != aRegion && fresh && !aItem.second.report.sample.empty();
  });
}

std::vector<wire::Member>
ReportBoard::Sample(const std::string& aFailureDomain) const
{
  std::vector<wire::Member> sample;
  std::map<std::string, std::set<std::string>> taken;
  const auto take = [&](const wire::Member& aMember) {
    const bool own = aMember.failureDomain == aFailureDomain;
    std::set<std::string>& names = taken[aMember.failureDomain];
    const bool room = names.size() < (own ? kSampleOfOwnDomain : kSampleOfOtherDomain);
    if (room && names.insert(aMember.name).second) {
      sample.push_back(aMember);
    }
  };
  const std::lock_guard lock(m_mutex);
  // The newest lives first.
  for (const auto& [name, introduced] : m_introduced) {
    take(introduced.member);
  }
  const Deadline now = SteadyClock::now();
  for (const auto& [relay, held] : m_reports) {
    const bool fresh = now <= held.takenAt + kSampleFreshness;
    for (const wire::Member& member : fresh ? held.report.sample : std::vector<wire::Member>()) {
      take(member);
    }
  }
  return sample;
}

} // namespace mimosarun
