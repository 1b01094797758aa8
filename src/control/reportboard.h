#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/** The newest report of each relay, with its age. Reports fade after a while. Thread-safe. */
class ReportBoard
{
public:
  /** Takes a report; aAge is how old it was when it arrived. */
  void Take(const wire::DomainReport& aReport, std::chrono::milliseconds aAge);

  /** Takes members that have just started; reports of their relays follow. */
  void Introduce(const std::vector<wire::Member>& aMembers);

  /** All reports with their ages, and with a few members each if they are wanted. */
  std::vector<wire::DomainReport> Reports(bool aWithMembers) const;

  /** Whether each report names members to meet. */
  bool KnowsMembersOfAll() const;

  /** The newest report of each failure domain. */
  std::vector<wire::DomainReport> NewestOfEachDomain() const;

  /** Whether a report of another region is fresh enough to meet its members. */
  bool KnowsOtherRegion(const std::string& aRegion) const;

  /** A sample of live members: some of one failure domain, a few of each other one. */
  std::vector<wire::Member> Sample(const std::string& aFailureDomain) const;

private:
  struct Held
  {
    wire::DomainReport report;
    Deadline takenAt;
  };

  /** A member that introduced itself. */
  struct Introduced
  {
    wire::Member member;
    Deadline at;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Held> m_reports;
  std::map<std::string, Introduced> m_introduced;
};

} // namespace mimosarun
