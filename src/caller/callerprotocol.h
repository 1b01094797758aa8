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
struct CallerWishes
{
  /** The caller's own identifier of the request; empty where the entry is to choose one. */
  std::string call;
  /** How long the caller waits; nothing where it doesn't say. */
  std::optional<std::chrono::milliseconds> patience;
};

/** How callers and entries understand each other over HTTP. */
template<typename Protocol>
concept CallerProtocol = requires(const HttpRequest& aRequest,
                                  HttpHeaders& aHeaders,
                                  HttpHead& aHead,
                                  const Refused& aRefused,
                                  const std::string& aText)
{
  {
    Protocol::ReadWishes(aRequest)
    } -> std::same_as<CallerWishes>;
  // Sets what only the system may say to targets; the text is the service that runs beside the entry.
  {
    Protocol::PrepareForTarget(aHeaders, aText)
    } -> std::same_as<void>;
  // Adds to a target's answer what callers expect of the system; the text is the call.
  {
    Protocol::FinishAnswer(aHead, aText)
    } -> std::same_as<void>;
  {
    Protocol::Refuse(aRefused)
    } -> std::same_as<HttpResponse>;
};

/** A CallerProtocol chosen when the process starts. */
struct CallerCodec
{
  std::function<CallerWishes(const HttpRequest&)> readWishes;
  std::function<void(HttpHeaders&, const std::string&)> prepareForTarget;
  std::function<void(HttpHead&, const std::string&)> finishAnswer;
  std::function<HttpResponse(const Refused&)> refuse;
};

template<CallerProtocol Protocol>
CallerCodec
CallerCodecOf()
{
  return { .readWishes = &Protocol::ReadWishes,
           .prepareForTarget = &Protocol::PrepareForTarget,
           .finishAnswer = &Protocol::FinishAnswer,
           .refuse = &Protocol::Refuse };
}

/** The product's own protocol; docs/INTERFACE.md describes it. */
struct NativeCallerProtocol
{
  static CallerWishes ReadWishes(const HttpRequest& aRequest);
  static void PrepareForTarget(HttpHeaders& aHeaders, const std::string& aService);
  static void FinishAnswer(HttpHead& aHead, const std::string& aCall);
  static HttpResponse Refuse(const Refused& aRefused);
};

} // namespace mimosarun
