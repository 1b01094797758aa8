#pragma once

#include "common/clock.h"
#include "common/random.h"

#include <string>

namespace mimosarun {

/** Which calls of a stand-in target are bad, and how. */
struct BadBehaviour
{
  /** Share of the calls that are bad. */
  int permille = 0;
  /** Multiplies the running time of bad calls; zero makes them fail with status 500 instead. */
  int slowFactor = 0;
  /** Before this time all calls are good. */
  Deadline from{};
  /** Only calls that run beside at least this number of others are bad. */
  int minimumOtherCalls = 0;
  /** Only calls of these paths are bad; empty means all. */
  std::string pathPrefix;

  /** Decides at random whether a call that starts now is bad. */
  bool IsBad(const std::string& aPath, int aOtherCalls, Deadline aNow) const
  {
    const bool isAffected = aNow >= from && aOtherCalls >= minimumOtherCalls && aPath.starts_with(pathPrefix);
    return isAffected && RandomBetween(0, 999) < permille;
  }
};

} // namespace mimosarun
