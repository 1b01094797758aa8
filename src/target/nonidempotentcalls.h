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
 * Calls that may run once and came to this gate lately. An entry whose connection broke asks again, and is
 * joined to the call that it sent before instead of running it a second time. Thread-safe.
 */
class NonIdempotentCalls
{
public:
  /** The call of this identifier that came before, or nothing; then the given one is kept. */
  std::shared_ptr<GateCall> FindOrAdd(const std::string& aId,
                                      const std::shared_ptr<GateCall>& aCall,
                                      Deadline aNow);

  /** Forgets a call that was never sent to a target, so that it may come again. */
  void Remove(const std::string& aId);

private:
  /** When an identifier was added. */
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
