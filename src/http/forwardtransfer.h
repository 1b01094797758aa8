#pragma once

#include "http/forwarder.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace mimosarun {

/** One outgoing request in the hands of libcurl. */
class ForwardTransfer
{
public:
  ForwardTransfer(ForwardTicket aTicket, ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener);
  ~ForwardTransfer();

  ForwardTransfer(const ForwardTransfer&) = delete;
  ForwardTransfer& operator=(const ForwardTransfer&) = delete;

  /** Prepares a handle; it stays the caller's. */
  void Prepare(CURL* aHandle);

  CURL* Handle() const { return m_handle; }
  ForwardTicket Ticket() const { return m_ticket; }
  ForwardListener& Listener() { return *m_listener; }

  /** Hands over the head if it is complete and was not handed over yet. */
  void DeliverHead();

  /** How the transfer ended, from the library's code. */
  ForwardEnd Judge(CURLcode aCode) const;

private:
  static size_t OnHeaderLine(char* aBytes, size_t aSize, size_t aCount, void* aSelf);
  static size_t OnBodyBytes(char* aBytes, size_t aSize, size_t aCount, void* aSelf);
  void AddHeaders();

  ForwardTicket m_ticket;
  ForwardRequest m_request;
  std::shared_ptr<ForwardListener> m_listener;
  CURL* m_handle = nullptr;
  curl_slist* m_headers = nullptr;
  curl_slist* m_connectTo = nullptr;
  HttpHead m_head;
  bool m_headDelivered = false;
};

} // namespace mimosarun
