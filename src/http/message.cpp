#include "http/message.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace mimosarun {

static constexpr int kFirstInterimStatus = 100;
static constexpr int kFirstFinalStatus = 200;
static constexpr int kFirstUndefinedStatus = 600;

bool
IsFinalStatus(int aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus < kFirstUndefinedStatus;
}

bool
IsInterimStatus(int aStatus)
{
  return aStatus >= kFirstInterimStatus && aStatus < kFirstFinalStatus;
}

bool
SameHeaderName(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() && ::strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

static auto
Find(const HttpHeaders& aHeaders, const std::string& aName)
{
  return std::find_if(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aHeader) {
    return SameHeaderName(aHeader.name, aName);
  });
}

std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName)
{
  const auto header = Find(aHeaders, aName);
  return header == aHeaders.end() ? std::string() : header->value;
}

bool
HasHeader(const HttpHeaders& aHeaders, const std::string& aName)
{
  return Find(aHeaders, aName) != aHeaders.end();
}

void
SetHeader(HttpHeaders& aHeaders, const std::string& aName, const std::string& aValue)
{
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) { return SameHeaderName(aHeader.name, aName); });
  aHeaders.push_back({ .name = aName, .value = aValue });
}

bool
IsHopByHopHeader(const std::string& aName)
{
  static const std::array<std::string, 9> kNames{ "Connection",        "Keep-Alive", "Proxy-Authenticate",
                                                  "Proxy-Connection",  "TE",         "Trailer",
                                                  "Transfer-Encoding", "Upgrade",    "Expect" };
  return std::any_of(kNames.begin(), kNames.end(), [&](const std::string& aHopByHop) {
    return SameHeaderName(aHopByHop, aName);
  });
}

} // namespace mimosarun
