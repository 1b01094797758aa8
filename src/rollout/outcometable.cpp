#include "rollout/outcometable.h"

namespace mimosarun {

/** Longer than a roll-out of the usual length, whose totals would shrink if an ended process were removed. */
static constexpr std::chrono::minutes kReportLifetime{ 10 };

static std::chrono::milliseconds
AgeAt(Deadline aReportedAt, Deadline aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aReportedAt);
}

void
OutcomeTable::Add(const wire::NodeOutcomes& aReport, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_reports,
                [aNow](const auto& aItem) { return aNow > aItem.second.reportedAt + kReportLifetime; });
  const auto [stored, isNew] = m_reports.try_emplace({ aReport.node, aReport.incarnation });
  if (isNew || aReport.sequence > stored->second.report.sequence) {
    stored->second = { .report = aReport, .reportedAt = aNow - std::chrono::milliseconds(aReport.ageMillis) };
  }
}

std::vector<wire::NodeOutcomes>
OutcomeTable::All(Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::NodeOutcomes> reports;
  for (const auto& [process, stored] : m_reports) {
    reports.push_back(stored.report);
    reports.back().ageMillis = AgeAt(stored.reportedAt, aNow).count();
  }
  return reports;
}

std::vector<wire::NodeOutcomes>
OutcomeTable::OfService(const std::string& aService, Deadline aNow) const
{
  std::vector<wire::NodeOutcomes> reports = All(aNow);
  std::erase_if(reports, [&](const wire::NodeOutcomes& aReport) { return aReport.serviceName != aService; });
  return reports;
}

} // namespace mimosarun
