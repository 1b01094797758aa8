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
  /** Version of the target's software; empty if it names none. */
  std::string version;
};

/** The gates of a version that is being rolled out, and the share of the service's calls that they get. */
struct CandidateGates
{
  std::vector<GateInfo> gates;
  /** Gates that get most of the calls; empty if all get the same. */
  std::vector<GateInfo> canaries;
  /** The gates that aren't canaries, and the rate at which this node sends calls to them in turn. */
  std::vector<GateInfo> others;
  double turnsPerSecond = 0;
  int permille = 0;
  /** Revision of the roll-out that set the share. */
  int64_t revision = 0;
};

/** Immutable, shared view of the available gates of each service. */
struct GateDirectory
{
  /** Gates whose targets have an allowed version. */
  std::map<std::string, std::vector<GateInfo>> gates;
  std::map<std::string, CandidateGates> candidates;
};

using GateDirectoryPointer = std::shared_ptr<const GateDirectory>;

} // namespace mimosarun
