#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace mimosarun {

/** The random engine of the calling thread. */
std::mt19937_64&
RandomEngine();

/** A uniform integer in [aLow, aHigh]. */
int64_t
RandomBetween(int64_t aLow, int64_t aHigh);

/** A uniform number in [0, 1). */
double
RandomFraction();

/** An identifier of 128 random bits, as 32 hexadecimal digits. */
std::string
RandomIdentifier();

} // namespace mimosarun
