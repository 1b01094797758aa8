#pragma once

#include "caller/callhistory.h"
#include "caller/calloptions.h"
#include "http/forwarder.h"
#include "http/server.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mimosarun {

class Entry;

/** What a caller is told of a call that is refused. */
struct CallRefusal
{
  int status = 503;
  std::string reason;
  bool mayHaveRun = false;
  std::optional<std::chrono::milliseconds> retryAfter;
  /** Gates of the service that the call was never sent to. */
  size_t untriedGates = 0;
};

/**
 * The response of one call to its caller, and the record of the call. The record is made before a response is
 * sent whole, since operators may ask about a call as soon as its caller has the response. Runs on the loop
 * of the call.
 */
class CallResponse
{
public:
  /** The entry and the options must outlive this object. */
  CallResponse(Entry& aEntry, ExchangePointer aExchange, const CallOptions& aOptions);

  void AddAttempt(AttemptRecord aAttempt) { m_record.attempts.push_back(std::move(aAttempt)); }
  void SetStopReason(StopReason aReason) { m_record.stopReason = aReason; }
  StopReason LastStopReason() const { return m_record.stopReason; }

  /** Starts a response whose body arrives from a gate piece by piece. */
  void BeginStreaming(HttpResponseHead aHead, std::string_view aBody, const ForwardHandle& aTransfer);

  /** Passes on a piece of the body; returns false if the transfer must pause. */
  bool Write(std::string_view aBytes) { return m_exchange->Write(aBytes); }

  /** Ends a streamed response. */
  void FinishStreaming(bool aIsComplete);

  /** Sends a response whole. */
  void Respond(HttpResponseHead aHead, std::string aBody);

  /** Sends a refusal. */
  void Refuse(const CallRefusal& aRefusal);

  /** Records that the caller left before a response, or during one that is streamed. */
  void RecordDisconnect(const CallRefusal& aRefusal);
  void RecordDisconnectDuringResponse();

private:
  void RecordEnd(int aStatus, const std::string& aOutcome, const std::string& aReason);

  Entry& m_entry;
  const ExchangePointer m_exchange;
  const CallOptions& m_options;
  CallRecord m_record;
};

} // namespace mimosarun
