#pragma once

#include "common/error.h"
#include "configuration/configuration.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace mimosarun {

/** One version of the configuration: canonical text, hash and parsed form. Shared, never changed. */
struct Snapshot
{
  int64_t version = 0;
  std::string text;
  std::string hash;
  Configuration configuration;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/** The empty configuration, version 0. */
SnapshotPointer
EmptySnapshot();

/** Builds a snapshot after validating the whole document. */
Result<SnapshotPointer>
MakeSnapshot(int64_t aVersion, const std::string& aCanonicalText);

/** The change between two snapshots as a compressed JSON patch (RFC 6902). */
wire::ConfigurationUpdate
MakeDelta(const Snapshot& aFrom, const Snapshot& aTo);

/** A snapshot whole, for a holder whose version is too old for a delta. */
wire::ConfigurationUpdate
MakeWhole(const Snapshot& aSnapshot);

/**
 * Applies an update to a copy of a held snapshot and checks version order, references and hash.
 * Nothing is applied on an error.
 */
Result<SnapshotPointer>
ApplyUpdate(const Snapshot& aHeld, const wire::ConfigurationUpdate& aUpdate);

/** Recent updates between consecutive versions, from which one for any recent holder is composed. */
class UpdateHistory
{
public:
  /** Adds the update that leads to the newest version; the oldest is dropped at the limit. */
  void Add(wire::ConfigurationUpdate aUpdate);

  /** Forgets everything, after a whole snapshot took the place of a chain of updates. */
  void Clear();

  /**
   * The smallest update that takes a holder of aHeldVersion to aCurrent: one patch composed of the steps
   * between, or the whole snapshot where a step is missing or the patch is larger.
   */
  wire::ConfigurationUpdate Compose(int64_t aHeldVersion, const Snapshot& aCurrent) const;

  const std::deque<wire::ConfigurationUpdate>& Updates() const;

private:
  std::deque<wire::ConfigurationUpdate> m_updates;
};

} // namespace mimosarun
