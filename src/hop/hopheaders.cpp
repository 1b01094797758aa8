#include "hop/hopheaders.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace mimosarun {

/** Represents an empty word in a header. */
static constexpr const char* kEmptyWord = "-";
/** Represents a name of that one character. */
static constexpr const char* kEscapedEmptyWord = "%2d";

/** Returns a name as one word: blanks, control characters and '%' become '%' and two hexadecimal digits. */
static std::string
EncodeName(const std::string& aName)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string word;
  for (const char character : aName) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte > ' ' && byte != '%' && byte != 127) {
      word.push_back(character);
    } else {
      word.push_back('%');
      word.push_back(kDigits[byte >> 4U]);
      word.push_back(kDigits[byte & 0xFU]);
    }
  }
  return word;
}

static std::string
DecodeName(const std::string& aWord)
{
  std::string name;
  for (size_t i = 0; i < aWord.size(); ++i) {
    if (aWord[i] == '%' && i + 2 < aWord.size()) {
      name.push_back(static_cast<char>(std::strtol(aWord.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      name.push_back(aWord[i]);
    }
  }
  return name;
}

/** Returns a name that may be empty as one word. */
static std::string
EncodeWord(const std::string& aText)
{
  if (aText.empty()) {
    return kEmptyWord;
  }
  return aText == kEmptyWord ? kEscapedEmptyWord : EncodeName(aText);
}

static std::string
DecodeWord(const std::string& aWord)
{
  return aWord == kEmptyWord ? std::string() : DecodeName(aWord);
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
  text << EncodeWord(aHop.callId) << ' ' << EncodeWord(aHop.service) << ' ' << EncodeWord(aHop.route) << ' '
       << static_cast<int>(aHop.repeatPolicy) << ' ' << static_cast<int>(aHop.callClass) << ' '
       << aHop.priority << ' ' << aHop.expectedCost.count() << ' ' << aHop.timeLeft.count() << ' '
       << aHop.timeToObjective.count() << ' ' << aHop.longestWait.count() << ' '
       << aHop.maxFailurePenalty.count() << ' ' << aHop.isLastResort << ' ' << aHop.sentToIncarnation;
  if (!aHop.homeRegion.empty() || !aHop.team.empty()) {
    text << ' ' << EncodeWord(aHop.homeRegion);
  }
  if (!aHop.team.empty()) {
    text << ' ' << EncodeName(aHop.team) << ' ' << aHop.teamPriority << ' ' << aHop.teamRate;
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
  int repeatPolicy = 0;
  int callClass = 0;
  int64_t expectedCost = 0;
  int64_t timeLeft = 0;
  int64_t timeToObjective = 0;
  int64_t longestWait = 0;
  int64_t maxFailurePenalty = 0;
  text >> hop.callId >> hop.service >> hop.route >> repeatPolicy >> callClass >> hop.priority >>
    expectedCost >> timeLeft >> timeToObjective >> longestWait >> maxFailurePenalty >> hop.isLastResort >>
    hop.sentToIncarnation;
  if (!text || repeatPolicy < 0 || repeatPolicy > static_cast<int>(RepeatPolicy::AtMostOnce)) {
    return std::nullopt;
  }
  hop.callId = DecodeWord(hop.callId);
  hop.service = DecodeWord(hop.service);
  hop.route = DecodeWord(hop.route);
  hop.repeatPolicy = static_cast<RepeatPolicy>(repeatPolicy);
  hop.callClass = callClass == static_cast<int>(CallClass::Long) ? CallClass::Long : CallClass::Short;
  hop.expectedCost = std::chrono::milliseconds(expectedCost);
  hop.timeLeft = std::chrono::milliseconds(timeLeft);
  hop.timeToObjective = std::chrono::milliseconds(timeToObjective);
  hop.longestWait = std::chrono::milliseconds(longestWait);
  hop.maxFailurePenalty = std::chrono::milliseconds(maxFailurePenalty);
  text >> hop.homeRegion >> hop.team >> hop.teamPriority >> hop.teamRate;
  hop.homeRegion = DecodeWord(hop.homeRegion);
  hop.team = DecodeName(hop.team);
  return hop;
}

void
WriteHop(HttpHeaders& aHeaders, const HopResponse& aHop)
{
  std::ostringstream text;
  text << static_cast<int>(aHop.outcome) << ' ' << aHop.slotsInUse << ' ' << aHop.slots << ' '
       << aHop.queueLength << ' ' << aHop.queueWait.count() << ' ' << aHop.failurePenalty.count();
  if (aHop.isLeaving) {
    text << ' ' << aHop.isLeaving;
  }
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
  int64_t queueWait = 0;
  int64_t failurePenalty = 0;
  text >> outcome >> hop.slotsInUse >> hop.slots >> hop.queueLength >> queueWait >> failurePenalty;
  if (!text || outcome < 0 || outcome > static_cast<int>(HopOutcome::Unknown)) {
    return std::nullopt;
  }
  hop.outcome = static_cast<HopOutcome>(outcome);
  hop.queueWait = std::chrono::milliseconds(queueWait);
  hop.failurePenalty = std::chrono::milliseconds(failurePenalty);
  text >> hop.isLeaving;
  return hop;
}

} // namespace mimosarun
