#pragma once

#include "caller/balancer.h"
#include "common/clock.h"
#include "hop/hopheaders.h"
#include "http/forwarder.h"
#include "node/directory.h"

#include <memory>
#include <optional>
#include <string>

namespace mimosarun {

class EntryCall;

/** One attempt of a call at one gate. */
class EntryAttempt : public ForwardListener
{
public:
  EntryAttempt(std::shared_ptr<EntryCall> aCall, const GateChoice& aChoice);

  HeadAction OnHead(const HttpResponseHead& aHead) override;
  bool OnBody(std::string_view aBytes) override;
  void OnSilence() override;
  void OnEnd(ForwardResult aResult) override;

private:
  friend class EntryCall;
  friend class OpenAttempts;

  /** Passes what the gate reports of itself to the balancer. */
  void RecordGateReport();
  void BeginStreamingIfLarge();

  std::shared_ptr<EntryCall> m_call;
  const GateInfo m_gate;
  /** Highest failure penalty of the gate's target that the call accepts. */
  const std::chrono::microseconds m_maxFailurePenalty;
  /** Whether the gate was expected to reject the call. */
  const bool m_expectsRejection;
  const Deadline m_sentAt;
  ForwardHandle m_forwardHandle;
  /** The gate's report on the call, once the response has begun. */
  std::optional<HopResponse> m_hopResponse;
  HttpResponseHead m_head;
  std::string m_body;
  size_t m_bodyBytes = 0;
  /** Whether the gate has acknowledged nothing for too long, so that the call doesn't rely on it. */
  bool m_isSilent = false;
  /** Number among SentCopies; only of calls that aren't idempotent. */
  int m_copy = 0;
  /** Whether the attempt used a retry of the budget. */
  bool m_usedRetryBudget = false;
};

} // namespace mimosarun
