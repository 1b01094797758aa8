#pragma once

#include "common/address.h"
#include "common/error.h"
#include "settings/meshlimits.h"

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

/** A control replica in the settings. */
struct ReplicaSettings
{
  std::string name;
  std::string region;
  std::string failureDomain;
  Address address;

  bool operator==(const ReplicaSettings&) const = default;
};

/** An address to use for a peer instead of its announced one, if that can't be reached from here. */
struct AddressOverride
{
  std::string peer;
  Address address;
};

/** The validated settings of one process. */
struct ProcessSettings
{
  ProcessRole role = ProcessRole::Node;
  std::string name;
  std::string region;
  std::string failureDomain;
  std::string logFile;

  /** Address for other processes of the mesh. */
  Address peerAddress;
  /** Address for operators' commands and metrics. */
  Address operatorAddress;

  /** All control replicas or, if discoverReplicas is set, those that are contacted first. */
  std::vector<ReplicaSettings> replicas;
  /** Whether the listed replicas are asked for others. If so, a replica's name is its peer address. */
  bool discoverReplicas = false;
  /** All regions of the deployment. */
  std::vector<std::string> regions;
  std::vector<AddressOverride> addressOverrides;

  /** Node only: addresses for callers, for the entries of other nodes, and for the target's announcements. */
  Address callerAddress;
  Address gateAddress;
  Address targetAddress;
  /**
   * Node only: nodes that provide members if no control replica answers. They are asked while no other member
   * of the own failure domain is known.
   */
  std::vector<Address> seeds;
  /** Node only: maximum time that a stopping process waits for calls in flight. */
  std::chrono::milliseconds drainTimeout{ 30000 };

  /** Control only: folder for logs and snapshots. */
  std::string dataFolder;
  /** Control only: whether to form the groups from the listed replicas, at the deployment's first start. */
  bool formGroups = false;
  /** Control only: desired number of voters; zero makes every replica a voter. */
  int voterCount = 0;
  /** Control only: interval of a leader's heartbeats. */
  std::chrono::milliseconds heartbeatInterval{ 300 };
  /** Control only: at least three times heartbeatInterval. */
  std::chrono::milliseconds electionTimeout{ 1200 };

  RolloutLimits rollout;
  RevocationLimits revocation;
  QuotaTolerance quota;
};

/**
 * Parses and validates settings. The error lists all problems that were found.
 *
 * @param aSource name of the text in messages, usually a path
 */
Result<ProcessSettings>
ParseSettings(const std::string& aText, const std::string& aSource);

/** Reads a settings file and parses it with ParseSettings(). */
Result<ProcessSettings>
LoadSettings(const std::string& aPath);

} // namespace mimosarun
