#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace mimosarun {

/** Returns the random engine of the calling thread, seeded from the system. */
std::mt19937_64&
RandomEngine();

/** Returns a uniformly distributed integer in [aLow, aHigh]. */
int64_t
RandomBetween(int64_t aLow, int64_t aHigh);

/** Returns a uniformly distributed number in [0, 1). */
double
RandomFraction();

/** Returns an identifier of 128 random bits as 32 hexadecimal digits. */
std::string
RandomIdentifier();

} // namespace mimosarun
