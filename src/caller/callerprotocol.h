#pragma once

#include "http/message.h"
#include "http/refusal.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <optional>
#include <string>

namespace mimosarun {

/** Options that a caller sends with a request. */
struct RequestOptions
{
  /** Identifier that the caller chose; empty if the entry chooses one. */
  std::string callId;
  /** How long the caller waits, if it states that. */
  std::optional<std::chrono::milliseconds> timeout;
  /** Key of the caller's team; empty if the request has none. */
  std::string credential;
};

/** Conventions between callers and entries on top of HTTP. */
template<typename Protocol>
concept CallerProtocol = requires(const HttpRequest& aRequest,
                                  HttpHeaders& aHeaders,
                                  HttpResponseHead& aHead,
                                  const RefusalDetails& aRefusal,
                                  const std::string& aText)
{
  {
    Protocol::ReadOptions(aRequest)
    } -> std::same_as<RequestOptions>;
  // Sets headers of the request that only the mesh may set. The text is the service of the entry's own node.
  {
    Protocol::PrepareForTarget(aHeaders, aText)
    } -> std::same_as<void>;
  // Removes the key of the request, and sets the header that names the caller's team; an empty text removes
  // it.
  {
    Protocol::SetTeam(aHeaders, aText)
    } -> std::same_as<void>;
  // Adds the headers that callers expect to a target's response. The text is the identifier of the call.
  {
    Protocol::FinishResponse(aHead, aText)
    } -> std::same_as<void>;
  {
    Protocol::Refuse(aRefusal)
    } -> std::same_as<HttpResponse>;
};

/** Functions of the CallerProtocol that is chosen when the process starts. */
struct CallerCodec
{
  std::function<RequestOptions(const HttpRequest&)> readOptions;
  std::function<void(HttpHeaders&, const std::string&)> prepareForTarget;
  std::function<void(HttpHeaders&, const std::string&)> setTeam;
  std::function<void(HttpResponseHead&, const std::string&)> finishResponse;
  std::function<HttpResponse(const RefusalDetails&)> refuse;
};

template<CallerProtocol Protocol>
CallerCodec
CallerCodecOf()
{
  return { .readOptions = &Protocol::ReadOptions,
           .prepareForTarget = &Protocol::PrepareForTarget,
           .setTeam = &Protocol::SetTeam,
           .finishResponse = &Protocol::FinishResponse,
           .refuse = &Protocol::Refuse };
}

/** The native protocol; see docs/INTERFACE.md. */
struct NativeCallerProtocol
{
  static RequestOptions ReadOptions(const HttpRequest& aRequest);
  static void PrepareForTarget(HttpHeaders& aHeaders, const std::string& aService);
  static void SetTeam(HttpHeaders& aHeaders, const std::string& aTeam);
  static void FinishResponse(HttpResponseHead& aHead, const std::string& aCallId);
  static HttpResponse Refuse(const RefusalDetails& aRefusal);
};

} // namespace mimosarun
