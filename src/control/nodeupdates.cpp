#include "control/nodeupdates.h"

namespace mimosarun {

/** Nodes hold one of the latest versions; updates from an older one redact its document again. */
static constexpr size_t kKeptDocuments = 8;

NodeUpdates::NodeUpdates(KeyRedactor aRedactor)
  : m_redactor(std::move(aRedactor))
{
}

void
NodeUpdates::Clear()
{
  m_documents.clear();
  m_updates.clear();
}

SnapshotPointer
NodeUpdates::Redacted(int64_t aVersion, const std::string& aText)
{
  const auto found = m_documents.find(aVersion);
  if (found != m_documents.end()) {
    return found->second;
  }
  const std::optional<std::string> text = m_redactor(aText);
  SnapshotPointer document = text ? MakeValidatedSnapshot(aVersion, *text) : nullptr;
  m_documents[aVersion] = document;
  if (m_documents.size() > kKeptDocuments) {
    m_documents.erase(m_documents.begin());
  }
  return document;
}

bool
NodeUpdates::HasTeams(const Snapshot& aSnapshot)
{
  return Redacted(aSnapshot.version, aSnapshot.text) != nullptr;
}

wire::ConfigurationUpdate
NodeUpdates::UpdateFrom(int64_t aHeldVersion, const Snapshot& aCurrent, const UpdateHistory& aHistory)
{
  const std::string* heldText = aHistory.TextOf(aHeldVersion);
  const bool concernsTeams =
    HasTeams(aCurrent) || (heldText != nullptr && Redacted(aHeldVersion, *heldText) != nullptr);
  if (!concernsTeams) {
    return aHistory.UpdateFrom(aHeldVersion, aCurrent);
  }
  if (m_updatedVersion != aCurrent.version) {
    m_updates.clear();
    m_updatedVersion = aCurrent.version;
  }
  // All versions that are no longer stored share one update with the full text.
  const int64_t key = heldText == nullptr && aHeldVersion != 0 ? -1 : aHeldVersion;
  const auto made = m_updates.find(key);
  return made != m_updates.end()
           ? made->second
           : m_updates.emplace(key, MakeUpdate(aHeldVersion, aCurrent, aHistory)).first->second;
}

wire::ConfigurationUpdate
NodeUpdates::MakeUpdate(int64_t aHeldVersion, const Snapshot& aCurrent, const UpdateHistory& aHistory)
{
  const SnapshotPointer redacted = Redacted(aCurrent.version, aCurrent.text);
  const Snapshot& current = redacted == nullptr ? aCurrent : *redacted;
  wire::ConfigurationUpdate full = MakeFullUpdate(current);
  const std::string* heldText = aHeldVersion == 0 ? &EmptySnapshot()->text : aHistory.TextOf(aHeldVersion);
  if (heldText == nullptr) {
    return full;
  }
  const SnapshotPointer redactedHeld = Redacted(aHeldVersion, *heldText);
  const SnapshotPointer held =
    redactedHeld == nullptr ? MakeValidatedSnapshot(aHeldVersion, *heldText) : redactedHeld;
  wire::ConfigurationUpdate delta = MakeDeltaUpdate(*held, current);
  return delta.payload.size() < full.payload.size() ? delta : full;
}

} // namespace mimosarun
