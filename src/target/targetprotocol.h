#pragma once

#include "http/message.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <string>

namespace mimosarun {

/** What a target is told of a call besides the caller's request. */
struct TargetCall
{
  std::string callId;
  /** The life of the target that is to run it. */
  std::string targetName;
  std::chrono::milliseconds timeLeft{ 0 };
};

/** What the head of a target's answer means. */
enum class TargetResponseKind
{
  /** The target's answer to this call, a success or a failure of its own. */
  Usable,
  /** The target says that it didn't run the call. */
  NotRun,
  /** Another life of the target, or another target, has the address; it didn't run the call. */
  OtherTarget,
  /** The answer belongs to another call. */
  OtherCall,
  /** The target's answer can't be passed on: a cut wouldn't show, or it isn't the target's own. */
  Unusable,
};

/** How gates and targets understand each other over HTTP. */
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

/** A TargetProtocol chosen when the process starts. */
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

/** The product's own protocol; docs/INTERFACE.md describes it. */
struct NativeTargetProtocol
{
  static void Prepare(HttpHeaders& aHeaders, const TargetCall& aCall);
  static TargetResponseKind ClassifyResponse(const HttpResponseHead& aHead, const TargetCall& aCall);
};

} // namespace mimosarun
