#pragma once

#include "common/error.h"
#include "configuration/configuration.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosarun {

/** One immutable version of the configuration: canonical text, hash and parsed form. */
struct Snapshot
{
  int64_t version = 0;
  std::string text;
  std::string hash;
  Configuration configuration;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/** Returns the empty configuration, version 0. */
SnapshotPointer
EmptySnapshot();

/** Parses and validates a document and returns its snapshot. */
Result<SnapshotPointer>
MakeSnapshot(int64_t aVersion,
             const std::string& aText,
             const DocumentParser& aParser = ParserOf<NativeFormat>());

/** Returns a snapshot of a text that was validated before; its configuration stays empty. */
SnapshotPointer
MakeValidatedSnapshot(int64_t aVersion, const std::string& aText);

/** Returns the update from one snapshot to another: the new text, compressed as a delta to the old one. */
wire::ConfigurationUpdate
MakeDeltaUpdate(const Snapshot& aFrom, const Snapshot& aTo);

/** Returns an update with the full text, for receivers whose version is too old for a delta. */
wire::ConfigurationUpdate
MakeFullUpdate(const Snapshot& aSnapshot);

/**
 * Returns the snapshot that results from applying an update to aHeld. Returns an error if the update isn't
 * newer, doesn't start from the held version, or gives a text with another hash or an invalid configuration.
 */
Result<SnapshotPointer>
ApplyUpdate(const Snapshot& aHeld,
            const wire::ConfigurationUpdate& aUpdate,
            const DocumentParser& aParser = ParserOf<NativeFormat>());

/** The canonical text of one version. */
struct VersionText
{
  int64_t version = 0;
  std::string text;
};

/** Stores the texts of recent versions and makes updates for receivers that hold one of them. */
class UpdateHistory
{
public:
  explicit UpdateHistory(size_t aLimit = kHistoryLimit)
    : m_limit(aLimit)
  {
  }

  /** Adds the newest version, and removes the oldest ones that exceed a limit. */
  void Add(const Snapshot& aSnapshot);

  /** Removes all versions. */
  void Clear();

  /**
   * Returns the smallest update from aHeldVersion to aCurrent: a delta, or the full text if the text of the
   * held version is no longer stored or the delta is larger.
   */
  wire::ConfigurationUpdate UpdateFrom(int64_t aHeldVersion, const Snapshot& aCurrent) const;

  /** Returns the text of a version, or nullptr if it is no longer stored. */
  const std::string* TextOf(int64_t aVersion) const;

  /** Returns all versions as a chain: the oldest in full, each other as a delta to its predecessor. */
  std::vector<wire::ConfigurationUpdate> Image() const;

  /** Replaces the stored versions by those of an image, the result of Image(). */
  Result<void> Restore(const std::vector<wire::ConfigurationUpdate>& aImage);

private:
  static constexpr size_t kHistoryLimit = 64;

  void Trim();

  wire::ConfigurationUpdate MakeUpdate(const std::string* aHeldText,
                                       int64_t aHeldVersion,
                                       const Snapshot& aCurrent) const;

  size_t m_limit;
  std::deque<VersionText> m_versions;
  /** Of the texts of all versions. */
  size_t m_textBytes = 0;
  /** Updates to the newest version by the held version, as many receivers ask for the same one. */
  mutable std::map<int64_t, wire::ConfigurationUpdate> m_madeUpdates;
};

} // namespace mimosarun
