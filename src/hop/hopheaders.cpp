#include "hop/hopheaders.h"

#include <algorithm>
#include <sstream>

namespace mimosarun {

/** Stands for an empty word. */
static constexpr const char* kEmptyWord = "-";

static std::string
Word(const std::string& aText)
{
  return aText.empty() ? kEmptyWord : aText;
}

static std::string
Text(const std::string& aWord)
{
  return aWord == kEmptyWord ? std::string() : aWord;
}

static std::optional<std::string>
ExtractHeader(HttpHeaders& aHeaders, const char* aName)
{
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aHeader) {
    return SameHeaderName(aHeader.name, aName);
  });
  if (found == aHeaders.end()) {
    return std::nullopt;
  }
  std::string value = std::move(found->value);
  aHeaders.erase(found);
  return value;
}

void
WriteHop(HttpHeaders& aHeaders, const HopRequest& aHop)
{
  std::ostringstream text;
  text << Word(aHop.callId) << ' ' << Word(aHop.service) << ' ' << Word(aHop.route) << ' '
       << static_cast<int>(aHop.repeatPolicy) << ' ' << static_cast<int>(aHop.callClass) << ' '
       << aHop.priority << ' ' << aHop.expectedCost.count() << ' ' << aHop.timeLeft.count() << ' '
       << aHop.timeToObjective.count() << ' ' << aHop.longestWait.count() << ' '
       << aHop.maxFailurePenalty.count() << ' ' << aHop.isLastResort << ' ' << aHop.sentToIncarnation;
  if (!aHop.homeRegion.empty()) {
    text << ' ' << aHop.homeRegion;
  }
  SetHeader(aHeaders, kHopRequestHeader, text.str());
}

std::optional<HopRequest>
ExtractHopRequest(HttpHeaders& aHeaders)
{
  const std::optional<std::string> value = ExtractHeader(aHeaders, kHopRequestHeader);
  if (!value) {
    return std::nullopt;
  }
  std::istringstream text(*value);
  HopRequest hop;
  int repeat = 0;
  int callClass = 0;
  int64_t cost = 0;
  int64_t left = 0;
  int64_t objective = 0;
  int64_t wait = 0;
  int64_t doubt = 0;
  text >> hop.callId >> hop.service >> hop.route >> repeat >> callClass >> hop.priority >> cost >> left >>
    objective >> wait >> doubt >> hop.isLastResort >> hop.sentToIncarnation;
  if (!text || repeat < 0 || repeat > static_cast<int>(RepeatPolicy::AtMostOnce)) {
    return std::nullopt;
  }
  hop.callId = Text(hop.callId);
  hop.service = Text(hop.service);
  hop.route = Text(hop.route);
  hop.repeatPolicy = static_cast<RepeatPolicy>(repeat);
  hop.callClass = callClass == static_cast<int>(CallClass::Long) ? CallClass::Long : CallClass::Short;
  hop.expectedCost = std::chrono::milliseconds(cost);
  hop.timeLeft = std::chrono::milliseconds(left);
  hop.timeToObjective = std::chrono::milliseconds(objective);
  hop.longestWait = std::chrono::milliseconds(wait);
  hop.maxFailurePenalty = std::chrono::milliseconds(doubt);
  text >> hop.homeRegion;
  return hop;
}

void
WriteHop(HttpHeaders& aHeaders, const HopResponse& aHop)
{
  std::ostringstream text;
  text << static_cast<int>(aHop.outcome) << ' ' << aHop.slotsInUse << ' ' << aHop.slots << ' '
       << aHop.queueLength << ' ' << aHop.queueWait.count() << ' ' << aHop.failurePenalty.count();
  SetHeader(aHeaders, kHopResponseHeader, text.str());
}

std::optional<HopResponse>
ExtractHopResponse(HttpHeaders& aHeaders)
{
  const std::optional<std::string> value = ExtractHeader(aHeaders, kHopResponseHeader);
  if (!value) {
    return std::nullopt;
  }
  std::istringstream text(*value);
  HopResponse hop;
  int outcome = 0;
  int64_t wait = 0;
  int64_t doubt = 0;
  text >> outcome >> hop.slotsInUse >> hop.slots >> hop.queueLength >> wait >> doubt;
  if (!text || outcome < 0 || outcome > static_cast<int>(HopOutcome::Unknown)) {
    return std::nullopt;
  }
  hop.outcome = static_cast<HopOutcome>(outcome);
  hop.queueWait = std::chrono::milliseconds(wait);
  hop.failurePenalty = std::chrono::milliseconds(doubt);
  return hop;
}

} // namespace mimosarun
