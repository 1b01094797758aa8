#pragma once

#include "common/clock.h"
#include "settings/meshlimits.h"
#include "wire/gen-cpp/mesh_types.h"

#include <map>
#include <mutex>

namespace mimosarun {

/**
 * Until when a node may honour the keys of its configuration without further contact to control. A lease
 * counts from the moment when a quorum was asked for the newest version, so a key that a later version
 * removes isn't honoured beyond the bound, however long a reply takes. Thread-safe.
 */
class CredentialLease
{
public:
  explicit CredentialLease(RevocationLimits aLimits);

  /** Extends the lease by a reply to a poll; a reply never shortens it. */
  void Extend(const wire::Validity& aValidity, Deadline aPollSentAt, Deadline aReceivedAt);

  /** Returns whether the keys of a version may be honoured; always true where revocation isn't strict. */
  bool Holds(int64_t aVersion, Deadline aNow) const;

private:
  const RevocationLimits m_limits;
  mutable std::mutex m_mutex;
  /** Ends of leases by the version that was confirmed; each also holds for newer versions. */
  std::map<int64_t, Deadline> m_ends;
};

} // namespace mimosarun
