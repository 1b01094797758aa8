#pragma once

#include "http/message.h"

#include <chrono>
#include <concepts>
#include <functional>
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
};

/** Functions of the TargetProtocol that is chosen when the process starts. */
struct TargetCodec
{
  std::function<void(HttpHeaders&, const TargetCall&)> prepare;
  std::function<TargetResponseKind(const HttpResponseHead&, const TargetCall&)> classifyResponse;
};

template<TargetProtocol Protocol>
TargetCodec
TargetCodecOf()
{
  return { .prepare = &Protocol::Prepare, .classifyResponse = &Protocol::ClassifyResponse };
}

/** The native protocol of the mesh; docs/INTERFACE.md describes it. */
struct NativeTargetProtocol
{
  static void Prepare(HttpHeaders& aHeaders, const TargetCall& aCall);
  static TargetResponseKind ClassifyResponse(const HttpResponseHead& aHead, const TargetCall& aCall);
};

} // namespace mimosarun
