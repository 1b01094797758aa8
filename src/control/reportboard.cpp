#include "control/reportboard.h"

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::minutes kForgetAfter{ 10 };
static constexpr std::chrono::milliseconds kSampleFreshness{ 60000 };
static constexpr size_t kSampleOfOtherDomain = 16;
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
ReportBoard::Reports() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::DomainReport> reports;
  for (const auto& [relay, held] : m_reports) {
    reports.push_back(held.report);
    reports.back().ageMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - held.takenAt).count();
  }
  return reports;
}

std::vector<wire::DomainReport>
ReportBoard::NewestOfEachDomain() const
{
  std::map<std::string, wire::DomainReport> newest;
  for (wire::DomainReport& report : Reports()) {
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
  const std::vector<wire::DomainReport> reports = Reports();
  return std::any_of(reports.begin(), reports.end(), [&](const wire::DomainReport& aReport) {
    return aReport.region != aRegion && aReport.ageMillis <= kSampleFreshness.count();
  });
}

std::vector<wire::Member>
ReportBoard::Sample(const std::string& aFailureDomain) const
{
  std::vector<wire::Member> sample;
  std::map<std::string, size_t> taken;
  for (const wire::DomainReport& report : Reports()) {
    if (report.ageMillis > kSampleFreshness.count()) {
      continue;
    }
    size_t& count = taken[report.failureDomain];
    for (const wire::Member& member : report.sample) {
      if (report.failureDomain == aFailureDomain || count < kSampleOfOtherDomain) {
        sample.push_back(member);
        ++count;
      }
    }
  }
  const std::lock_guard lock(m_mutex);
  for (const auto& [name, introduced] : m_introduced) {
    size_t& count = taken[introduced.member.failureDomain];
    if (introduced.member.failureDomain == aFailureDomain || count < kSampleOfOtherDomain) {
      sample.push_back(introduced.member);
      ++count;
    }
  }
  return sample;
}

} // namespace mimosarun
