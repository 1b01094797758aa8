#pragma once

#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace mimosarun {

/**
 * Replicated claims on the idempotency keys of one region. A request may run only after its key is claimed
 * with a token, and its result is stored under the same token. A request whose key is claimed with another
 * token never runs. Thread-safe.
 */
class ClaimState
{
public:
  wire::CommandResult Apply(const wire::LogEntry& aEntry);
  std::string Image() const;
  Result<void> Restore(const std::string& aImage, int64_t aIndex = 0);

  /** Returns the number of claimed keys. */
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
