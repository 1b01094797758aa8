#pragma once

#include "hop/hopheaders.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "rollout/outcomecounter.h"
#include "target/admission.h"
#include "target/claimclient.h"
#include "target/targetprotocol.h"
#include "target/targetwatch.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

class Gate;

/**
 * One call at the gate, from the request for a slot to the end of the response. Runs on the event loop of the
 * connection that it arrived on.
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

  /** Returns what the admission needs to know about the call. */
  AdmissionRequest ToAdmissionRequest() const;

  /** Starts to watch for a disconnect of the entry. */
  void WatchForDisconnect() { WatchForDisconnect(m_exchange); }

  /** Starts the call, which now has a slot: claims its key, if any, and forwards it. Thread-safe. */
  void OnAdmitted();

  /** Responds with an error to a call that holds no slot. Thread-safe. */
  void Reject(HopOutcome aOutcome, const std::string& aReason);

  /** Returns the time at which the call's caller has given up. */
  Deadline LatestEnd() const { return m_deadline; }

  /**
   * Responds to a call that the entry sent again: with the response of the earlier one or, if that call is no
   * longer known, with an unknown outcome.
   */
  static void RespondToRepetition(const std::shared_ptr<GateCall>& aEarlierCall,
                                  const ExchangePointer& aExchange);

  HeadAction OnHead(const HttpResponseHead& aHead) override;
  bool OnBody(std::string_view aBytes) override;
  void OnEnd(ForwardResult aResult) override;
  std::chrono::milliseconds AbandonedTime() const override;
  void OnAbandoned() override;
  void OnAbandonedEnd(ForwardResult aResult) override;

private:
  /** Progress of the call. */
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
  void AttachExchange(const ExchangePointer& aExchange);
  void WatchForDisconnect(const ExchangePointer& aExchange);
  /** Whether further copies of the call may arrive, which must get the same response. */
  bool IsRepeated() const { return m_isRepeated || m_hop.sentToIncarnation != 0; }
  void MarkEnded();
  /** Frees what a second copy of this call doesn't need. */
  void ReleaseMessages();
  void StartStreaming();
  void Discard(size_t aBytes);
  void OnResponseComplete();
  void StoreThenRespond();
  /** Releases the key that the call claimed; returns whether that is stored. Blocks. */
  bool ReleaseClaim();
  /** Refuses the call after the release of its key, if it has one. */
  void RespondNotRun(HopOutcome aOutcome, const std::string& aReason);
  void CountEnd(TargetCallEnd aEnd);
  void OnDisconnect(const Exchange* aExchange);
  /** Puts a copy on this loop whose connection is open, if any, in the place of m_exchange. */
  void ReplaceExchange();
  void OnEntryDisconnected();
  void Abandon();

  Gate& m_gate;
  const uint64_t m_number;
  EventLoop& m_loop;
  /**
   * Of the copy that gets a streamed response: one on this loop, with an open connection if any has one. Null
   * once the call has ended.
   */
  ExchangePointer m_exchange;
  /** Of the other copies. They get a response that is sent whole, since they may be on other loops. */
  std::vector<ExchangePointer> m_otherExchanges;
  /** Exchanges whose connections are open. */
  std::set<const Exchange*> m_connectedExchanges;
  bool m_isRepeated = false;
  const Deadline m_receivedAt;
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
  std::string m_softwareVersion;
  Address m_targetAddress;
  /** When the call was sent to the target last, and when the response to it began to be passed on. */
  Deadline m_sentAt{};
  std::optional<Deadline> m_streamedAt;
  ForwardHandle m_forwardHandle;
  TargetResponseKind m_responseKind = TargetResponseKind::Unusable;
  bool m_streaming = false;
  size_t m_discardedBytes = 0;
  /** Set while the target may run the call although nobody waits for it. */
  std::string m_abandonedFingerprint;
  HttpResponseHead m_responseHead;
  std::string m_bufferedBody;
  /** Kept for an entry that sends the call again. */
  std::optional<HttpResponse> m_storedResponse;
};

} // namespace mimosarun
