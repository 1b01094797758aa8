#pragma once

#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace mimosarun {

/**
 * The replicated claims of idempotency keys of one region. A key is claimed by a token before its request
 * may run; the outcome is stored under the same token. A key that is taken never runs again. Thread-safe.
 */
class ClaimState
{
public:
  wire::CommandResult Apply(const wire::LogEntry& aEntry);
  std::string Image() const;
  Result<void> Restore(const std::string& aImage);

  /** Number of keys held. */
  size_t Size() const;

private:
  wire::CommandResult Claim(const wire::Command& aCommand);
  wire::CommandResult Complete(const wire::Command& aCommand);
  wire::CommandResult Release(const wire::Command& aCommand);
  void Expire(int64_t aBeforeMicros);

  mutable std::mutex m_mutex;
  std::unordered_map<std::string, wire::ClaimRecord> m_claims;
};

} // namespace mimosarun
