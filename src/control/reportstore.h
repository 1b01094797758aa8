#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/** The newest report of each relay, with its age. Reports fade after a while. Thread-safe. */
class ReportStore
{
public:
  /** Takes a report; aAge is how old it was when it arrived. */
  void AddReport(const wire::DomainReport& aReport, std::chrono::milliseconds aAge);

  /** Takes members that have just started; reports of their relays follow. */
  void AddStartedMembers(const std::vector<wire::Member>& aMembers);

  /** All reports with their ages, and with a few members each if they are wanted. */
  std::vector<wire::DomainReport> AllReports(bool aWithMembers) const;

  /** Whether each report names members to meet. */
  bool EachReportHasMembers() const;

  /** The newest report of each failure domain. */
  std::vector<wire::DomainReport> NewestReportPerDomain() const;

  /** Whether a report of another region is fresh enough to meet its members. */
  bool HasFreshMembersOfOtherRegion(const std::string& aRegion) const;

  /** A sample of live members: some of one failure domain, a few of each other one. */
  std::vector<wire::Member> SampleMembers(const std::string& aFailureDomain) const;

private:
  struct StoredReport
  {
    wire::DomainReport report;
    Deadline reportedAt;
  };

  /** A member that introduced itself. */
  struct StartedMember
  {
    wire::Member member;
    Deadline receivedAt;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, StoredReport> m_reports;
  std::map<std::string, StartedMember> m_startedMembers;
};

} // namespace mimosarun
