#pragma once

#include "common/address.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosarun {

/** How far a gate is from this node. */
enum class Locality
{
  FailureDomain,
  Region,
  OtherRegion,
};

/** A gate that accepts calls for a service. */
struct GateInfo
{
  std::string node;
  std::string target;
  Address address;
  Locality locality = Locality::FailureDomain;
  int slots = 1;
  /** Incarnation of the gate's process; a restarted process has a new one. */
  int64_t incarnation = 0;
};

/** Immutable, shared view of the available gates of each service. */
struct GateDirectory
{
  std::map<std::string, std::vector<GateInfo>> gates;
};

using GateDirectoryPointer = std::shared_ptr<const GateDirectory>;

} // namespace mimosarun
