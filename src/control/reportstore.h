#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/** Holds the newest report of each relay with its age; removes old reports. Thread-safe. */
class ReportStore
{
public:
  /** Stores a report unless a newer one of the same relay is stored; aAge is its age on arrival. */
  void AddReport(const wire::DomainReport& aReport, std::chrono::milliseconds aAge);

  /** Stores members that have just started, until their relays report them. */
  void AddStartedMembers(const std::vector<wire::Member>& aMembers);

  /** Returns all reports with their ages, and with a few members each if aWithMembers is set. */
  std::vector<wire::DomainReport> AllReports(bool aWithMembers) const;

  /** Returns whether every report contains members. */
  bool EachReportHasMembers() const;

  /** Returns the newest report of each failure domain, without members. */
  std::vector<wire::DomainReport> NewestReportPerDomain() const;

  /** Returns whether a recent report of another region contains members. */
  bool HasFreshMembersOfOtherRegion(const std::string& aRegion) const;

  /** Returns a sample of live members: several of aFailureDomain, a few of each other failure domain. */
  std::vector<wire::Member> SampleMembers(const std::string& aFailureDomain) const;

private:
  struct StoredReport
  {
    wire::DomainReport report;
    Deadline reportedAt;
  };

  /** A member that has just started. */
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
