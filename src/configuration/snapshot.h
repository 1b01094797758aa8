#pragma once

#include "common/error.h"
#include "configuration/configuration.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

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
MakeSnapshot(int64_t aVersion,
             const std::string& aText,
             const DocumentParser& aParser = ParserOf<NativeFormat>());

/** A snapshot of a text that was validated before; its configuration stays empty. */
SnapshotPointer
MakeValidatedSnapshot(int64_t aVersion, const std::string& aText);

/** The change between two snapshots: the new text compressed against the old one. */
wire::ConfigurationUpdate
MakeDeltaUpdate(const Snapshot& aFrom, const Snapshot& aTo);

/** A snapshot whole, for a holder whose version is too old for a delta. */
wire::ConfigurationUpdate
MakeFullUpdate(const Snapshot& aSnapshot);

/**
 * Applies an update to a copy of a held snapshot and checks version order, references and hash.
 * Nothing is applied on an error.
 */
Result<SnapshotPointer>
ApplyUpdate(const Snapshot& aHeld,
            const wire::ConfigurationUpdate& aUpdate,
            const DocumentParser& aParser = ParserOf<NativeFormat>());

/** The text of one version. */
struct VersionText
{
  int64_t version = 0;
  std::string text;
};

/** Texts of recent versions, from which an update for any recent holder is made. */
class UpdateHistory
{
public:
  explicit UpdateHistory(size_t aLimit = kHistoryLimit)
    : m_limit(aLimit)
  {
  }

  /** Adds the newest version; the oldest is dropped at the limit. */
  void Add(const Snapshot& aSnapshot);

  /** Forgets everything. */
  void Clear();

  /**
   * The smallest update that takes a holder of aHeldVersion to aCurrent: the difference to the held text, or
   * the whole snapshot where that text is no longer known or the difference is larger.
   */
  wire::ConfigurationUpdate UpdateFrom(int64_t aHeldVersion, const Snapshot& aCurrent) const;

  /** The text of a version, or nothing where it is no longer known. */
  const std::string* TextOf(int64_t aVersion) const;

  /** All versions as a chain: the oldest whole, each other as the difference to the one before it. */
  std::vector<wire::ConfigurationUpdate> Image() const;

  /** Undoes Image(). */
  Result<void> Restore(const std::vector<wire::ConfigurationUpdate>& aImage);

private:
  static constexpr size_t kHistoryLimit = 64;

  size_t m_limit;
  std::deque<VersionText> m_versions;
};

} // namespace mimosarun
