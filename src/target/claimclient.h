#pragma once

#include "common/clock.h"
#include "control/groupclient.h"
#include "http/message.h"

#include <string>

namespace mimosarun {

/** A claim of an idempotency key by one attempt. */
struct ClaimRequest
{
  std::string homeRegion;
  std::string service;
  std::string key;
  /** Names this attempt. */
  std::string token;
  /** Hash of the request, so that a key can't be used for another one. */
  std::string fingerprint;
};

enum class ClaimStatus
{
  /** This attempt may run the request. */
  Granted,
  /** The request ran before; its answer is known. */
  Completed,
  /** Another attempt holds the key and its outcome isn't known. */
  HeldByOther,
  /** The key was used for another request. */
  Mismatch,
  /** No quorum of the home region can be reached. */
  Unavailable,
};

/** The verdict on a claim, with the first answer where it is known. */
struct ClaimResult
{
  ClaimStatus status = ClaimStatus::Unavailable;
  HttpResponse response;
};

/** Claims keys in the home region of a service. */
class ClaimClient
{
public:
  explicit ClaimClient(GroupClient& aClient);

  ClaimResult Claim(const ClaimRequest& aKey, Deadline aDeadline);

  /** Stores the answer of a granted claim; false if that isn't certain. */
  bool Complete(const ClaimRequest& aKey, const HttpResponse& aAnswer, Deadline aDeadline);

  /** Gives a granted claim back whose request did not run. */
  bool Release(const ClaimRequest& aKey, Deadline aDeadline);

private:
  GroupClient& m_client;
};

} // namespace mimosarun
