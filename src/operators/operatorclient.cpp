#include "operators/operatorclient.h"

#include "http/message.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <thread>

namespace mimosarun {

static constexpr long kConnectTimeoutMilliseconds = 1000;
static constexpr std::chrono::milliseconds kRetryPause{ 100 };
static constexpr int kFirstClientErrorStatus = 400;
static constexpr int kFirstServerErrorStatus = 500;

static size_t
AppendResponse(char* aBytes, size_t aSize, size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aBytes, aSize * aCount);
  return aSize * aCount;
}

/** Result of one request to one server: an answer, or whether the request may have reached it. */
struct PostResult
{
  std::optional<Answer> answer;
  bool mayHaveArrived = false;
};

/** Returns the answer in a response; nothing if the response leaves open whether the command was run. */
static std::optional<Answer>
ReadAnswer(int aStatus, const std::string& aBody)
{
  if (!IsFinalStatus(aStatus)) {
    return std::nullopt;
  }
  std::optional<Answer> answer = AnswerFromJson(aBody);
  const bool isRejected = aStatus >= kFirstClientErrorStatus && aStatus < kFirstServerErrorStatus;
  if (!answer && isRejected) {
    // The server didn't accept the request, for example because it is too large.
    return Answer{ .code = AnswerCode::NotRun, .message = "the server rejected the request: " + aBody };
  }
  return answer;
}

/** Returns whether an answer tells the outcome of a command that an earlier attempt may have run. */
static bool
SettlesOutcome(const Answer& aAnswer, bool aMayHaveRun)
{
  // It was not run by this attempt.
  const bool saysNothingOfOthers = aMayHaveRun && aAnswer.code == AnswerCode::NotRun;
  return aAnswer.code != AnswerCode::Unknown && !saysNothingOfOthers;
}

static PostResult
Post(const std::string& aServer, const std::string& aBody, Deadline aDeadline)
{
  CURL* handle = curl_easy_init();
  std::string text;
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, ("http://" + aServer + "/v1/command").c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aBody.data());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aBody.size()));
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMilliseconds);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(TimeLeft(aDeadline).count() + 1));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendResponse);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &text);
  const CURLcode code = curl_easy_perform(handle);
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  if (code == CURLE_OK) {
    return { .answer = ReadAnswer(static_cast<int>(status), text), .mayHaveArrived = true };
  }
  return { .answer = std::nullopt, .mayHaveArrived = code != CURLE_COULDNT_CONNECT };
}

OperatorClient::OperatorClient(std::vector<std::string> aServers)
  : m_servers(std::move(aServers))
{
}

Answer
OperatorClient::Send(const OperatorRequest& aRequest, Deadline aDeadline) const
{
  nlohmann::json body;
  body["command"] = aRequest.command;
  if (!aRequest.requestId.empty()) {
    body["requestId"] = aRequest.requestId;
  }
  if (!aRequest.author.empty()) {
    body["author"] = aRequest.author;
  }
  if (!aRequest.document.empty()) {
    body["document"] = aRequest.document;
  }
  const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  bool mayHaveRun = false;
  while (true) {
    for (const std::string& server : m_servers) {
      const PostResult attempt = Post(server, text, aDeadline);
      if (attempt.answer && SettlesOutcome(*attempt.answer, mayHaveRun)) {
        return *attempt.answer;
      }
      mayHaveRun = mayHaveRun || attempt.mayHaveArrived;
      if (SteadyClock::now() >= aDeadline) {
        return mayHaveRun
                 ? Answer{ .code = AnswerCode::Unknown,
                           .message = "no answer in time; send the command again with --request-id " +
                                      aRequest.requestId }
                 : Answer{ .code = AnswerCode::NotRun, .message = "no server answered; check --server" };
      }
    }
    if (!mayHaveRun) {
      return { .code = AnswerCode::NotRun, .message = "no server answered; check --server" };
    }
    std::this_thread::sleep_for(kRetryPause);
  }
}

} // namespace mimosarun
