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

  /** All reports with their ages. */
  std::vector<wire::DomainReport> Reports() const;

  /** The newest report of each failure domain. */
  std::vector<wire::DomainReport> NewestOfEachDomain() const;

  /** Whether a report of another region is fresh enough to meet its members. */
  bool KnowsOtherRegion(const std::string& aRegion) const;

  /** A sample of live members: all known of one failure domain, a few of each other one. */
  std::vector<wire::Member> Sample(const std::string& aFailureDomain) const;

private:
  struct Held
  {
    wire::DomainReport report;
    Deadline takenAt;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Held> m_reports;
};

} // namespace mimosarun
