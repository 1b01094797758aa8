#pragma once

#include "hop/hopheaders.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "target/admission.h"
#include "target/claimclient.h"
#include "target/targetprotocol.h"
#include "target/targetwatch.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mimosarun {

class Gate;

/**
 * One call at the gate: from the offer over the claim to the end of the answer. Lives on the loop of the
 * connection that brought it.
 */
class GateCall
  : public ForwardListener
  , public std::enable_shared_from_this<GateCall>
{
public:
  GateCall(Gate& aGate, uint64_t aNumber, ExchangePointer aExchange, HopRequest aHop, HttpRequest aRequest);

  uint64_t Number() const { return m_number; }
  const HopRequest& Hop() const { return m_hop; }
  EventLoop& Loop() const { return m_loop; }

  /** What the admission has to know of it. */
  AdmissionRequest ToAdmissionRequest() const;

  /** Watches for the other end's hang-up. */
  void WatchForDisconnect();

  /** The call has a slot; it claims its key if it has one, then goes to the target. Any thread. */
  void OnAdmitted();

  /** Answers a call that holds no slot. Any thread. */
  void Reject(HopOutcome aOutcome, const std::string& aReason);

  /** Gives the answer to another exchange of the same call. */
  void AttachExchange(const ExchangePointer& aExchange);

  HeadAction OnHead(const HttpResponseHead& aHead) override;
  bool OnBody(std::string_view aBytes) override;
  void OnEnd(ForwardResult aEnd) override;

private:
  /** How far the call is on its way to the target. */
  enum class Stage
  {
    Waiting,
    /** It holds a slot. */
    Running,
    Ended,
  };

  void Start();
  void ClaimThenForward();
  void OnClaimResult(const ClaimResult& aClaim);
  void Forward();
  bool HasClaim() const { return m_claim.has_value(); }
  void ReleaseSlot();
  void RespondWithError(int aStatus, HopOutcome aOutcome, const std::string& aReason);
  void RespondWith(HttpResponse aResponse, HopOutcome aOutcome);
  void StartStreaming();
  void OnResponseComplete();
  void StoreThenRespond();
  void ReleaseClaim();
  void OnEntryDisconnected();
  void Abandon();

  Gate& m_gate;
  const uint64_t m_number;
  EventLoop& m_loop;
  ExchangePointer m_exchange;
  const HopRequest m_hop;
  HttpRequest m_request;
  const Deadline m_deadline;
  std::optional<ClaimRequest> m_claim;
  boost::asio::steady_timer m_abandonTimer;
  Stage m_stage = Stage::Waiting;
  bool m_entryDisconnected = false;
  bool m_retried = false;
  Deadline m_admittedAt{};
  std::string m_targetName;
  ForwardHandle m_forwardHandle;
  TargetResponseKind m_responseKind = TargetResponseKind::Unusable;
  bool m_streaming = false;
  HttpResponseHead m_responseHead;
  std::string m_bufferedBody;
  /** Kept for an entry that asks again. */
  std::optional<HttpResponse> m_storedResponse;
};

} // namespace mimosarun
