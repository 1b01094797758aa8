#include "harness/testclient.h"

#include <curl/curl.h>

#include <map>

namespace mimosarun {

static size_t
CollectBody(char* aBytes, size_t aSize, size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aBytes, aSize * aCount);
  return aSize * aCount;
}

static size_t
CollectHeader(char* aBytes, size_t aSize, size_t aCount, void* aHeaders)
{
  std::string line(aBytes, aSize * aCount);
  line.erase(line.find_last_not_of("\r\n") + 1);
  const size_t colon = line.find(": ");
  if (colon != std::string::npos) {
    (*static_cast<std::map<std::string, std::string>*>(aHeaders))[line.substr(0, colon)] =
      line.substr(colon + 2);
  }
  return aSize * aCount;
}

TestClient::TestClient()
  : m_handle(curl_easy_init())
{
}

TestClient::~TestClient()
{
  curl_easy_cleanup(m_handle);
}

TestResponse
TestClient::Send(const Address& aTo, const TestRequest& aRequest)
{
  TestResponse response;
  std::map<std::string, std::string> headers;
  CURL* handle = m_handle;
  // Connections outlive this.
  curl_easy_reset(handle);
  curl_slist* list = curl_slist_append(nullptr, ("X-Token: " + aRequest.token).c_str());
  list =
    curl_slist_append(list, ("Mimosarun-Timeout-Ms: " + std::to_string(aRequest.timeout.count())).c_str());
  list = curl_slist_append(list, "Expect:");
  if (!aRequest.key.empty()) {
    list = curl_slist_append(list, ("Idempotency-Key: " + aRequest.key).c_str());
  }
  for (const std::string& header : aRequest.headers) {
    list = curl_slist_append(list, header.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, ("http://" + aTo.Text() + aRequest.path).c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aRequest.method.c_str());
  if (aRequest.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aRequest.body.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.timeout.count() + 2000));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &CollectBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &CollectHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &headers);
  response.transferComplete = curl_easy_perform(handle) == CURLE_OK;
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all(list);
  response.status = static_cast<int>(status);
  response.outcome = headers["Mimosarun-Outcome"];
  response.callId = headers["Mimosarun-Call"];
  response.token = headers["X-Token"];
  response.target = headers["X-Target"];
  return response;
}

TestResponse
Send(const Address& aTo, const TestRequest& aRequest)
{
  return TestClient().Send(aTo, aRequest);
}

} // namespace mimosarun
