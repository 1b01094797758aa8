#pragma once

#include "common/address.h"
#include "common/error.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace mimosarun {

enum class ProcessRole
{
  Node,
  Control,
};

/** A control replica as the settings name it. */
struct ReplicaSettings
{
  std::string name;
  std::string region;
  std::string failureDomain;
  Address address;

  bool operator==(const ReplicaSettings&) const = default;
};

/** Another address for a peer, where the announced one can't be reached from here. */
struct AddressOverride
{
  std::string peer;
  Address address;
};

/** All settings of one process, checked. */
struct ProcessSettings
{
  ProcessRole role = ProcessRole::Node;
  std::string name;
  std::string region;
  std::string failureDomain;
  std::string logFile;

  /** Where other processes of the system reach this one. */
  Address peerAddress;
  /** Operators and metrics. */
  Address operatorAddress;

  /** All control replicas; where more are discovered, those to begin with. */
  std::vector<ReplicaSettings> replicas;
  /** Find further replicas through those listed. Then a replica's name is the text of its peer address. */
  bool discoverReplicas = false;
  /** All regions of the deployment. */
  std::vector<std::string> regions;
  std::vector<AddressOverride> addressOverrides;

  /** Node only: calls from callers, calls from other nodes, announcements of the target. */
  Address callerAddress;
  Address gateAddress;
  Address targetAddress;
  /** Node only: peers asked for members while no control replica answers. */
  std::vector<Address> seeds;
  /** Node only: longest wait for calls in flight when the process is told to stop. */
  std::chrono::milliseconds drainTimeout{ 30000 };

  /** Control only. */
  std::string dataFolder;
  /** Whether the whole deployment starts for the first time, so that the listed replicas form the groups. */
  bool formGroups = false;
  /** Voters to aim at; zero makes every replica a voter. */
  int voterCount = 0;
  std::chrono::milliseconds heartbeatInterval{ 300 };
  std::chrono::milliseconds electionTimeout{ 1200 };
};

/** Reads and checks settings; all faults are reported at once. */
Result<ProcessSettings>
ParseSettings(const std::string& aText, const std::string& aSource);

/** ParseSettings() of a file. */
Result<ProcessSettings>
LoadSettings(const std::string& aPath);

} // namespace mimosarun
