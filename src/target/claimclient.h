#pragma once

#include "common/clock.h"
#include "control/groupclient.h"
#include "http/message.h"

#include <string>

namespace mimosarun {

/** A claim on an idempotency key by one attempt to run a request. */
struct ClaimRequest
{
  std::string homeRegion;
  std::string service;
  std::string key;
  /** Identifies this attempt. */
  std::string token;
  /** Hash of the request, by which the reuse of a key for another request is detected. */
  std::string fingerprint;
};

/** Result of a claim. */
enum class ClaimStatus
{
  /** This attempt may run the request. */
  Granted,
  /** The request has run and its response is stored. */
  Completed,
  /** Another attempt holds the key, and its outcome isn't known. */
  HeldByOther,
  /** The key was used for another request. */
  Mismatch,
  /** No quorum of the home region can be reached. */
  Unavailable,
};

/** Status of a claim, with the stored response if the request has run. */
struct ClaimResult
{
  ClaimStatus status = ClaimStatus::Unavailable;
  HttpResponse response;
};

/** Claims idempotency keys in the home region of a service. */
class ClaimClient
{
public:
  explicit ClaimClient(GroupClient& aClient);

  ClaimResult Claim(const ClaimRequest& aClaim, Deadline aDeadline);

  /** Stores the response to a granted claim; returns false unless it is certainly stored. */
  bool Complete(const ClaimRequest& aClaim, const HttpResponse& aResponse, Deadline aDeadline);

  /** Releases a claim whose request didn't run; returns false unless it is certainly released. */
  bool Release(const ClaimRequest& aClaim, Deadline aDeadline);

private:
  GroupClient& m_client;
};

} // namespace mimosarun
