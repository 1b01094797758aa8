#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace mimosarun {

/**
 * The newest cumulative counts of each incarnation of each node, so that lost, repeated and reordered
 * reports are harmless. Thread-safe.
 */
class OutcomeTable
{
public:
  /** Stores a report whose age is in its field ageMillis, unless a newer one of the same process is stored.
   */
  void Add(const wire::NodeOutcomes& aReport, Deadline aNow);

  /** Returns all reports with their ages. */
  std::vector<wire::NodeOutcomes> All(Deadline aNow) const;

  /** Returns the reports on targets of a service with their ages. */
  std::vector<wire::NodeOutcomes> OfService(const std::string& aService, Deadline aNow) const;

private:
  /** Node and incarnation of its process. */
  using Process = std::pair<std::string, int64_t>;

  struct StoredReport
  {
    wire::NodeOutcomes report;
    Deadline reportedAt;
  };

  mutable std::mutex m_mutex;
  std::map<Process, StoredReport> m_reports;
};

} // namespace mimosarun
