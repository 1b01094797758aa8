#pragma once

#include "http/message.h"
#include "http/refusal.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <optional>
#include <string>

namespace mimosarun {

/** What a caller's request says of itself. */
struct RequestOptions
{
  /** The caller's own identifier of the request; empty where the entry is to choose one. */
  std::string callId;
  /** How long the caller waits; nothing where it doesn't say. */
  std::optional<std::chrono::milliseconds> timeout;
};

/** How callers and entries understand each other over HTTP. */
template<typename Protocol>
concept CallerProtocol = requires(const HttpRequest& aRequest,
                                  HttpHeaders& aHeaders,
                                  HttpResponseHead& aHead,
                                  const RefusalDetails& aRefused,
                                  const std::string& aText)
{
  {
    Protocol::ReadOptions(aRequest)
    } -> std::same_as<RequestOptions>;
  // Sets what only the system may say to targets; the text is the service that runs beside the entry.
  {
    Protocol::PrepareForTarget(aHeaders, aText)
    } -> std::same_as<void>;
  // Adds to a target's answer what callers expect of the system; the text is the call.
  {
    Protocol::FinishResponse(aHead, aText)
    } -> std::same_as<void>;
  {
    Protocol::Refuse(aRefused)
    } -> std::same_as<HttpResponse>;
};

/** A CallerProtocol chosen when the process starts. */
struct CallerCodec
{
  std::function<RequestOptions(const HttpRequest&)> readOptions;
  std::function<void(HttpHeaders&, const std::string&)> prepareForTarget;
  std::function<void(HttpResponseHead&, const std::string&)> finishResponse;
  std::function<HttpResponse(const RefusalDetails&)> refuse;
};

template<CallerProtocol Protocol>
CallerCodec
CallerCodecOf()
{
  return { .readOptions = &Protocol::ReadOptions,
           .prepareForTarget = &Protocol::PrepareForTarget,
           .finishResponse = &Protocol::FinishResponse,
           .refuse = &Protocol::Refuse };
}

/** The product's own protocol; docs/INTERFACE.md describes it. */
struct NativeCallerProtocol
{
  static RequestOptions ReadOptions(const HttpRequest& aRequest);
  static void PrepareForTarget(HttpHeaders& aHeaders, const std::string& aService);
  static void FinishResponse(HttpResponseHead& aHead, const std::string& aCall);
  static HttpResponse Refuse(const RefusalDetails& aRefused);
};

} // namespace mimosarun
