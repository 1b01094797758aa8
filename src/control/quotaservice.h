#pragma once

#include "common/clock.h"
#include "configuration/snapshot.h"
#include "quota/quotaledger.h"
#include "settings/meshlimits.h"
#include "wire/gen-cpp/mesh_types.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Answers nodes' quota requests on the leader of the configuration group, and only while a quorum has
 * confirmed shortly before that it leads. Thread-safe.
 */
class QuotaService
{
public:
  struct Options
  {
    /** Name of this replica. */
    std::string name;
    QuotaTolerance tolerance;
    std::function<wire::GroupStatus()> status;
    /** Confirms by a quorum that this replica leads. */
    std::function<wire::ReadIndex(Deadline)> confirm;
    std::function<SnapshotPointer()> configuration;
  };

  explicit QuotaService(Options aOptions);
  ~QuotaService();

  QuotaService(const QuotaService&) = delete;
  QuotaService& operator=(const QuotaService&) = delete;

  void Start();
  void Stop();

  wire::QuotaReply Handle(const wire::QuotaRequest& aRequest);

  /** Returns the state of all quotas, or nothing if this replica doesn't lead. */
  std::optional<std::vector<QuotaState>> States();

private:
  void Run();
  /** Follows the leadership and the configuration. */
  void UpdateLocked(const wire::GroupStatus& aStatus, const SnapshotPointer& aSnapshot, Deadline aNow);
  void RememberLocked(const SnapshotPointer& aSnapshot);
  bool IsInUseLocked(Deadline aNow) const;
  bool IsConfirmedLocked(Deadline aNow) const;
  /** Has a quorum confirm that this replica leads. */
  void Confirm();

  const Options m_options;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::condition_variable m_confirmed;
  bool m_stop = false;
  /** Null while another replica leads. */
  std::unique_ptr<QuotaLedger> m_ledger;
  int64_t m_term = 0;
  int64_t m_version = -1;
  bool m_hasLimits = false;
  /** Recent configurations, whose numbers of teams nodes may still use. */
  std::map<int64_t, SnapshotPointer> m_recent;
  Deadline m_requestedAt{};
  /** Whether a request waits for a confirmation. */
  bool m_isAwaited = false;
  /** When the last confirmation was asked for. */
  Deadline m_confirmedAt{};
  std::thread m_thread;
};

} // namespace mimosarun
