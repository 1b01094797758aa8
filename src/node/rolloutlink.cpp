#include "node/rolloutlink.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

static constexpr std::chrono::milliseconds kReportInterval{ 250 };
/** A report without changes is repeated, since control holds back a ramp if a node is silent. */
static constexpr std::chrono::milliseconds kRepeatInterval{ 1000 };
/** Time after a roll-out in which late results of its calls are still reported. */
static constexpr std::chrono::seconds kReportAfterEnd{ 10 };
static constexpr std::chrono::milliseconds kShortestWait{ 10 };

RolloutLink::RolloutLink(Options aOptions)
  : m_options(std::move(aOptions))
  , m_incarnation(m_options.table->Self().incarnation)
{
}

wire::NodeOutcomes
RolloutLink::MakeReport(const wire::Member& aSelf)
{
  wire::NodeOutcomes report;
  report.node = aSelf.name;
  report.incarnation = m_incarnation;
  report.sequence = ++m_sequence;
  report.appliedRevision = m_options.view->Revision();
  m_reportedRevision = report.appliedRevision;
  m_reportedTotal = m_options.outcomes->Total();
  m_reportedOpenCalls = m_options.openCalls();
  report.outcomes = m_options.outcomes->All();
  report.serviceName = aSelf.serviceName;
  report.version = aSelf.softwareVersion;
  report.openCalls = m_reportedOpenCalls;
  return report;
}

bool
RolloutLink::IsReportDue(Deadline aNow) const
{
  if (m_options.view->Revision() != m_reportedRevision) {
    return true;
  }
  const bool hasChanged =
    m_options.outcomes->Total() != m_reportedTotal || m_options.openCalls() != m_reportedOpenCalls;
  return aNow >= m_nextReport && (hasChanged || aNow >= m_repeatReportAt);
}

void
RolloutLink::Prepare(wire::WatchRequest& aRequest, Deadline aNow)
{
  RolloutView& view = *m_options.view;
  if (!view.HasVersions() && view.Revision() == 0) {
    return;
  }
  aRequest.__set_rolloutRevision(view.Revision());
  const wire::Member self = m_options.table->Self();
  if (view.IsRunning(self.serviceName)) {
    m_reportUntil = aNow + kReportAfterEnd;
    m_options.outcomes->CountUntil(m_reportUntil);
  }
  if (aNow >= m_reportUntil) {
    return;
  }
  if (IsReportDue(aNow)) {
    aRequest.__set_outcomes(MakeReport(self));
    m_nextReport = aNow + kReportInterval;
    m_repeatReportAt = aNow + kRepeatInterval;
  }
  const auto untilReport = std::chrono::ceil<std::chrono::milliseconds>(m_nextReport - aNow);
  const auto wait = untilReport.count() > 0 ? std::max(untilReport, kShortestWait) : kReportInterval;
  aRequest.waitMillis = std::min(aRequest.waitMillis, static_cast<int32_t>(wait.count()));
}

void
RolloutLink::Apply(const wire::WatchRequest& aRequest, const wire::WatchReply& aReply, Deadline aNow)
{
  if (!aRequest.__isset.rolloutRevision) {
    return;
  }
  const bool changed = aReply.__isset.rollouts && m_options.view->Apply(aReply.rollouts);
  // A replica that may hold outdated roll-outs sends none to a node that has none yet.
  const bool isInformed = aReply.__isset.rollouts || aRequest.rolloutRevision > 0;
  if (aReply.current && isInformed) {
    m_options.view->RecordContact(aNow);
  }
  if (changed) {
    m_options.onChange();
  }
}

} // namespace mimosarun
