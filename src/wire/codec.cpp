#include "wire/codec.h"

namespace mimosarun {

wire::Stamp
StampNow()
{
  const HybridTime now = HybridClock::Instance().Now();
  wire::Stamp stamp;
  stamp.physicalMicros = now.physical.time_since_epoch().count();
  stamp.logical = now.logical;
  return stamp;
}

void
ObserveStamp(const wire::Stamp& aStamp)
{
  HybridClock::Instance().Observe(
    { .physical = WallTime(std::chrono::microseconds(aStamp.physicalMicros)), .logical = aStamp.logical });
}

} // namespace mimosarun
