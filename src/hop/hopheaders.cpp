#include "hop/hopheaders.h"

#include <algorithm>
#include <sstream>

namespace mimosarun {

/** Stands for an empty word. */
static constexpr const char* kNone = "-";

static std::string
Word(const std::string& aText)
{
  return aText.empty() ? kNone : aText;
}

static std::string
Text(const std::string& aWord)
{
  return aWord == kNone ? std::string() : aWord;
}

static std::optional<std::string>
TakeHeader(HttpHeaders& aHeaders, const char* aName)
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
  text << Word(aHop.call) << ' ' << Word(aHop.service) << ' ' << Word(aHop.route) << ' '
       << static_cast<int>(aHop.repeat) << ' ' << static_cast<int>(aHop.callClass) << ' ' << aHop.priority
       << ' ' << aHop.expectedCost.count() << ' ' << aHop.timeLeft.count() << ' '
       << aHop.objectiveLeft.count() << ' ' << aHop.longestWait.count() << ' ' << aHop.toleratedDoubt.count()
       << ' ' << aHop.lastChoice << ' ' << aHop.sentToLife;
  if (!aHop.homeRegion.empty()) {
    text << ' ' << aHop.homeRegion;
  }
  SetHeader(aHeaders, kHopRequestHeader, text.str());
}

std::optional<HopRequest>
TakeHopRequest(HttpHeaders& aHeaders)
{
  const std::optional<std::string> value = TakeHeader(aHeaders, kHopRequestHeader);
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
  text >> hop.call >> hop.service >> hop.route >> repeat >> callClass >> hop.priority >> cost >> left >>
    objective >> wait >> doubt >> hop.lastChoice >> hop.sentToLife;
  if (!text || repeat < 0 || repeat > static_cast<int>(RepeatPolicy::Once)) {
    return std::nullopt;
  }
  hop.call = Text(hop.call);
  hop.service = Text(hop.service);
  hop.route = Text(hop.route);
  hop.repeat = static_cast<RepeatPolicy>(repeat);
  hop.callClass = callClass == static_cast<int>(CallClass::Long) ? CallClass::Long : CallClass::Short;
  hop.expectedCost = std::chrono::milliseconds(cost);
  hop.timeLeft = std::chrono::milliseconds(left);
  hop.objectiveLeft = std::chrono::milliseconds(objective);
  hop.longestWait = std::chrono::milliseconds(wait);
  hop.toleratedDoubt = std::chrono::milliseconds(doubt);
  text >> hop.homeRegion;
  return hop;
}

void
WriteHop(HttpHeaders& aHeaders, const HopAnswer& aHop)
{
  std::ostringstream text;
  text << static_cast<int>(aHop.outcome) << ' ' << aHop.slotsInUse << ' ' << aHop.slots << ' ' << aHop.waiting
       << ' ' << aHop.wait.count() << ' ' << aHop.doubt.count();
  SetHeader(aHeaders, kHopAnswerHeader, text.str());
}

std::optional<HopAnswer>
TakeHopAnswer(HttpHeaders& aHeaders)
{
  const std::optional<std::string> value = TakeHeader(aHeaders, kHopAnswerHeader);
  if (!value) {
    return std::nullopt;
  }
  std::istringstream text(*value);
  HopAnswer hop;
  int outcome = 0;
  int64_t wait = 0;
  int64_t doubt = 0;
  text >> outcome >> hop.slotsInUse >> hop.slots >> hop.waiting >> wait >> doubt;
  if (!text || outcome < 0 || outcome > static_cast<int>(HopOutcome::Unknown)) {
    return std::nullopt;
  }
  hop.outcome = static_cast<HopOutcome>(outcome);
  hop.wait = std::chrono::milliseconds(wait);
  hop.doubt = std::chrono::milliseconds(doubt);
  return hop;
}

} // namespace mimosarun
