#pragma once

#include "common/clock.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

class GateCall;

/**
 * Calls that aren't idempotent and that arrived at this gate recently. If an entry sends a call again because
 * its connection broke, the second one is attached to the first instead of running too. Thread-safe.
 */
class NonIdempotentCalls
{
public:
  /** Returns the earlier call with this identifier; if there is none, adds the given one and returns null. */
  std::shared_ptr<GateCall> FindOrAdd(const std::string& aId,
                                      const std::shared_ptr<GateCall>& aCall,
                                      Deadline aNow);

  /** Removes a call that was never sent to a target, so that the entry may send it again. */
  void Remove(const std::string& aId);

private:
  struct AddedCall
  {
    std::string id;
    Deadline addedAt;
  };

  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<GateCall>> m_calls;
  std::deque<AddedCall> m_callsByAge;
};

} // namespace mimosarun
