#pragma once

#include "common/address.h"

#include <chrono>
#include <string>
#include <vector>

namespace mimosarun {

/** Response to an HTTP request in a test. */
struct TestResponse
{
  /** The response was received completely, as HTTP defines it. */
  bool transferComplete = false;
  int status = 0;
  std::string outcome;
  std::string callId;
  std::string token;
  std::string target;
  std::string retryAfter;
  std::string body;
};

/** A request in a test. */
struct TestRequest
{
  std::string method = "GET";
  std::string path;
  std::string token = "token";
  std::string key;
  std::string body;
  std::chrono::milliseconds timeout{ 3000 };
  /** Further headers, such as "Name: value". */
  std::vector<std::string> headers;
};

/** Sends requests one after the other; each address has a connection that is kept until the peer closes it.
 */
class TestClient
{
public:
  TestClient();
  ~TestClient();

  TestClient(const TestClient&) = delete;
  TestClient& operator=(const TestClient&) = delete;

  /** Sends a request and waits for the response. */
  TestResponse Send(const Address& aTo, const TestRequest& aRequest);

private:
  /** A handle of libcurl, which holds the connections. */
  void* m_handle;
};

/** Sends a request over a connection of its own and waits for the response. */
TestResponse
Send(const Address& aTo, const TestRequest& aRequest);

} // namespace mimosarun
