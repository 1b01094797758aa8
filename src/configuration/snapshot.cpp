#include "configuration/snapshot.h"

#include "common/compression.h"
#include "common/digest.h"

#include <algorithm>

namespace mimosarun {

/** Stands for all held versions whose text isn't stored. */
static constexpr int64_t kUnknownVersion = -1;
static constexpr size_t kDocumentLimitBytes = 16UL * 1024 * 1024;
/** Bounds the memory of a history of large documents; its newest version is kept in any case. */
static constexpr size_t kHistoryLimitBytes = 8UL * 1024 * 1024;

SnapshotPointer
EmptySnapshot()
{
  static const SnapshotPointer empty = std::make_shared<const Snapshot>(
    Snapshot{ .version = 0, .text = "{}", .hash = Sha256("{}"), .configuration = {} });
  return empty;
}

Result<SnapshotPointer>
MakeSnapshot(int64_t aVersion, const std::string& aText, const DocumentParser& aParser)
{
  MIMOSARUN_TRY(Configuration configuration, aParser(aText));
  return std::make_shared<const Snapshot>(Snapshot{
    .version = aVersion, .text = aText, .hash = Sha256(aText), .configuration = std::move(configuration) });
}

SnapshotPointer
MakeValidatedSnapshot(int64_t aVersion, const std::string& aText)
{
  return std::make_shared<const Snapshot>(
    Snapshot{ .version = aVersion, .text = aText, .hash = Sha256(aText), .configuration = {} });
}

static wire::ConfigurationUpdate
MakeTextDelta(int64_t aFromVersion,
              const std::string& aFromText,
              int64_t aToVersion,
              const std::string& aToText)
{
  wire::ConfigurationUpdate update;
  update.fromVersion = aFromVersion;
  update.toVersion = aToVersion;
  update.payload = CompressDelta(aToText, aFromText);
  return update;
}

wire::ConfigurationUpdate
MakeDeltaUpdate(const Snapshot& aFrom, const Snapshot& aTo)
{
  wire::ConfigurationUpdate update = MakeTextDelta(aFrom.version, aFrom.text, aTo.version, aTo.text);
  update.hash = aTo.hash;
  return update;
}

wire::ConfigurationUpdate
MakeFullUpdate(const Snapshot& aSnapshot)
{
  wire::ConfigurationUpdate update;
  update.toVersion = aSnapshot.version;
  update.hash = aSnapshot.hash;
  update.whole = true;
  update.payload = Compress(aSnapshot.text);
  return update;
}

static Result<std::string>
DecompressText(const wire::ConfigurationUpdate& aUpdate, const std::string& aHeldText)
{
  return aUpdate.whole ? Decompress(aUpdate.payload, kDocumentLimitBytes)
                       : DecompressDelta(aUpdate.payload, aHeldText, kDocumentLimitBytes);
}

Result<SnapshotPointer>
ApplyUpdate(const Snapshot& aHeld, const wire::ConfigurationUpdate& aUpdate, const DocumentParser& aParser)
{
  if (aUpdate.toVersion <= aHeld.version) {
    return Fail(ErrorKind::Conflict,
                "version " + std::to_string(aUpdate.toVersion) + " isn't newer than the held version " +
                  std::to_string(aHeld.version) + "; nothing to do");
  }
  if (!aUpdate.whole && aUpdate.fromVersion != aHeld.version) {
    return Fail(ErrorKind::StaleBase,
                "the update starts from another version; fetch one for the held version");
  }
  MIMOSARUN_TRY(const std::string text, DecompressText(aUpdate, aHeld.text));
  if (Sha256(text) != aUpdate.hash) {
    return Fail(ErrorKind::CorruptData,
                "the updated text doesn't match the announced hash; fetch the full text");
  }
  return MakeSnapshot(aUpdate.toVersion, text, aParser);
}

void
UpdateHistory::Add(const Snapshot& aSnapshot)
{
  m_madeUpdates.clear();
  m_versions.push_back({ .version = aSnapshot.version, .text = aSnapshot.text });
  m_textBytes += aSnapshot.text.size();
  Trim();
}

void
UpdateHistory::Trim()
{
  while (m_versions.size() > m_limit || (m_textBytes > kHistoryLimitBytes && m_versions.size() > 1)) {
    m_textBytes -= m_versions.front().text.size();
    m_versions.pop_front();
  }
}

void
UpdateHistory::Clear()
{
  m_madeUpdates.clear();
  m_versions.clear();
  m_textBytes = 0;
}

const std::string*
UpdateHistory::TextOf(int64_t aVersion) const
{
  const auto found = std::find_if(m_versions.begin(), m_versions.end(), [aVersion](const VersionText& aText) {
    return aText.version == aVersion;
  });
  return found == m_versions.end() ? nullptr : &found->text;
}

wire::ConfigurationUpdate
UpdateHistory::UpdateFrom(int64_t aHeldVersion, const Snapshot& aCurrent) const
{
  const std::string* held = aHeldVersion == 0 ? &EmptySnapshot()->text : TextOf(aHeldVersion);
  const int64_t key = held == nullptr ? kUnknownVersion : aHeldVersion;
  auto made = m_madeUpdates.find(key);
  if (made == m_madeUpdates.end() || made->second.toVersion != aCurrent.version) {
    made = m_madeUpdates.insert_or_assign(key, MakeUpdate(held, aHeldVersion, aCurrent)).first;
  }
  return made->second;
}

wire::ConfigurationUpdate
UpdateHistory::MakeUpdate(const std::string* aHeldText, int64_t aHeldVersion, const Snapshot& aCurrent) const
{
  wire::ConfigurationUpdate full = MakeFullUpdate(aCurrent);
  if (aHeldText == nullptr) {
    return full;
  }
  wire::ConfigurationUpdate update = MakeTextDelta(aHeldVersion, *aHeldText, aCurrent.version, aCurrent.text);
  update.hash = aCurrent.hash;
  return update.payload.size() < full.payload.size() ? update : full;
}

std::vector<wire::ConfigurationUpdate>
UpdateHistory::Image() const
{
  std::vector<wire::ConfigurationUpdate> image;
  const VersionText* previous = nullptr;
  for (const VersionText& version : m_versions) {
    wire::ConfigurationUpdate update;
    if (previous == nullptr) {
      update.toVersion = version.version;
      update.whole = true;
      update.payload = Compress(version.text);
    } else {
      update = MakeTextDelta(previous->version, previous->text, version.version, version.text);
    }
    image.push_back(std::move(update));
    previous = &version;
  }
  return image;
}

Result<void>
UpdateHistory::Restore(const std::vector<wire::ConfigurationUpdate>& aImage)
{
  Clear();
  for (const wire::ConfigurationUpdate& update : aImage) {
    MIMOSARUN_TRY(std::string text,
                  DecompressText(update, m_versions.empty() ? std::string() : m_versions.back().text));
    m_textBytes += text.size();
    m_versions.push_back({ .version = update.toVersion, .text = std::move(text) });
    Trim();
  }
  return boost::outcome_v2::success();
}

} // namespace mimosarun
