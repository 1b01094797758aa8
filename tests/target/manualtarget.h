#pragma once

#include "common/address.h"
#include "harness/rawserver.h"

#include <chrono>
#include <string>
#include <vector>

namespace mimosarun {

/** A target that does with each request what the test says, and nothing by itself, also if its peer has left.
 */
class ManualTarget
{
public:
  ManualTarget();
  ~ManualTarget();

  ManualTarget(const ManualTarget&) = delete;
  ManualTarget& operator=(const ManualTarget&) = delete;

  const Address& ListenAddress() const { return m_address; }

  /** Waits for the next request, on a new connection; returns its number, or -1 without one. */
  int TakeRequest();

  /** Returns whether the peer ends the connection of a request, at least for sending, within aTime. */
  bool HasPeerLeft(int aRequest, std::chrono::milliseconds aTime) const;

  void Answer(int aRequest);

  /** Closes the connection of a request without an answer. */
  void Drop(int aRequest);

  /** Ends as a process does: nothing listens any more, and all connections are closed. */
  void Crash();

private:
  /** One connection with its request. */
  struct Request
  {
    int connection = -1;
    std::string callId;
  };

  const Address m_address;
  int m_listener;
  std::vector<Request> m_requests;
};

} // namespace mimosarun
