#include "common/random.h"

namespace mimosarun {

std::mt19937_64&
RandomEngine()
{
  thread_local std::mt19937_64 engine{ std::random_device{}() };
  return engine;
}

int64_t
RandomBetween(int64_t aLow, int64_t aHigh)
{
  return std::uniform_int_distribution<int64_t>(aLow, aHigh)(RandomEngine());
}

double
RandomFraction()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(RandomEngine());
}

std::string
RandomIdentifier()
{
  static constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (int word = 0; word < 2; ++word) {
    uint64_t bits = RandomEngine()();
    for (int digit = 0; digit < 16; ++digit) {
      text.push_back(kDigits[bits & 0xFU]);
      bits >>= 4U;
    }
  }
  return text;
}

} // namespace mimosarun
