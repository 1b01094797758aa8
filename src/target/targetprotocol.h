#pragma once

#include "http/message.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <optional>
#include <string>

namespace mimosarun {

/** What a target learns about a call in addition to the caller's request. */
struct TargetCall
{
  std::string callId;
  /** Incarnation of the target that is to run the call. */
  std::string targetName;
  std::chrono::milliseconds timeLeft{ 0 };
};

/** Meaning of the head of a target's response. */
enum class TargetResponseKind
{
  /** The target's response to this call, whether success or error. */
  Usable,
  /** The target reports that it didn't run the call. */
  NotRun,
  /** Another incarnation of the target, or another target, has the address; it didn't run the call. */
  OtherTarget,
  /** The response belongs to another call. */
  OtherCall,
  /** The response can't be passed on: a truncation wouldn't show, or it isn't the target's own. */
  Unusable,
};

/** What a target says of itself in its responses, beside the response to the call. */
struct TargetNotice
{
  /** Requests a second that the target accepts from all gates, until a response doesn't say so any more. */
  std::optional<double> requestsPerSecond;
  /** Whether the target is leaving, and should get no further calls. */
  bool isLeaving = false;
};

/** Reads a rate of requests a second; returns nothing if the text isn't a number of zero or more. */
std::optional<double>
ParseRate(const std::string& aText);

/** Protocol between gates and targets, on top of HTTP. */
template<typename Protocol>
concept TargetProtocol = requires(HttpHeaders& aHeaders,
                                  const HttpResponseHead& aHead,
                                  const TargetCall& aCall)
{
  {
    Protocol::Prepare(aHeaders, aCall)
    } -> std::same_as<void>;
  {
    Protocol::ClassifyResponse(aHead, aCall)
    } -> std::same_as<TargetResponseKind>;
  {
    Protocol::ReadNotice(aHead)
    } -> std::same_as<TargetNotice>;
};

/** Functions of the TargetProtocol that is chosen when the process starts. */
struct TargetCodec
{
  std::function<void(HttpHeaders&, const TargetCall&)> prepare;
  std::function<TargetResponseKind(const HttpResponseHead&, const TargetCall&)> classifyResponse;
  std::function<TargetNotice(const HttpResponseHead&)> readNotice;
};

template<TargetProtocol Protocol>
TargetCodec
TargetCodecOf()
{
  return { .prepare = &Protocol::Prepare,
           .classifyResponse = &Protocol::ClassifyResponse,
           .readNotice = &Protocol::ReadNotice };
}

/** The native protocol of the mesh; docs/INTERFACE.md describes it. */
struct NativeTargetProtocol
{
  static void Prepare(HttpHeaders& aHeaders, const TargetCall& aCall);
  static TargetResponseKind ClassifyResponse(const HttpResponseHead& aHead, const TargetCall& aCall);
  static TargetNotice ReadNotice(const HttpResponseHead& aHead);
};

} // namespace mimosarun
