#include "configuration/snapshot.h"

#include "common/compression.h"
#include "common/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mimosarun {

static constexpr size_t kDocumentLimitBytes = 16UL * 1024 * 1024;
static constexpr size_t kHistoryLimit = 1024;

SnapshotPointer
EmptySnapshot()
{
  static const SnapshotPointer empty = std::make_shared<const Snapshot>(
    Snapshot{ .version = 0, .text = "{}", .hash = Sha256("{}"), .configuration = {} });
  return empty;
}

Result<SnapshotPointer>
MakeSnapshot(int64_t aVersion, const std::string& aCanonicalText)
{
  MIMOSARUN_TRY(Configuration configuration,
                ParseConfiguration(aCanonicalText, "configuration", DocumentOrigin::Control));
  return std::make_shared<const Snapshot>(Snapshot{ .version = aVersion,
                                                    .text = aCanonicalText,
                                                    .hash = Sha256(aCanonicalText),
                                                    .configuration = std::move(configuration) });
}

wire::ConfigurationUpdate
MakeDelta(const Snapshot& aFrom, const Snapshot& aTo)
{
  const nlohmann::json patch =
    nlohmann::json::diff(nlohmann::json::parse(aFrom.text), nlohmann::json::parse(aTo.text));
  wire::ConfigurationUpdate update;
  update.fromVersion = aFrom.version;
  update.toVersion = aTo.version;
  update.hash = aTo.hash;
  update.payload = Compress(patch.dump());
  return update;
}

wire::ConfigurationUpdate
MakeWhole(const Snapshot& aSnapshot)
{
  wire::ConfigurationUpdate update;
  update.toVersion = aSnapshot.version;
  update.hash = aSnapshot.hash;
  update.whole = true;
  update.payload = Compress(aSnapshot.text);
  return update;
}

static Result<std::string>
PatchedText(const Snapshot& aHeld, const std::string& aPatch)
{
  try {
    return nlohmann::json::parse(aHeld.text).patch(nlohmann::json::parse(aPatch)).dump();
  } catch (const nlohmann::json::exception& fault) {
    return Fail(ErrorKind::CorruptData,
                std::string("the patch doesn't apply: ") + fault.what() + "; fetch the whole");
  }
}

Result<SnapshotPointer>
ApplyUpdate(const Snapshot& aHeld, const wire::ConfigurationUpdate& aUpdate)
{
  if (aUpdate.toVersion <= aHeld.version) {
    return Fail(ErrorKind::Conflict,
                "version " + std::to_string(aUpdate.toVersion) + " isn't newer than the held " +
                  std::to_string(aHeld.version) + "; nothing to do");
  }
  if (!aUpdate.whole && aUpdate.fromVersion != aHeld.version) {
    return Fail(ErrorKind::StaleBase,
                "the update starts from another version; fetch it for the held version");
  }
  MIMOSARUN_TRY(std::string text, Decompress(aUpdate.payload, kDocumentLimitBytes));
  if (!aUpdate.whole) {
    MIMOSARUN_TRY(std::string patched, PatchedText(aHeld, text));
    text = std::move(patched);
  }
  MIMOSARUN_TRY(SnapshotPointer snapshot, MakeSnapshot(aUpdate.toVersion, text));
  if (snapshot->hash != aUpdate.hash) {
    return Fail(ErrorKind::CorruptData, "the result has another hash than announced; fetch the whole");
  }
  return snapshot;
}

void
UpdateHistory::Add(wire::ConfigurationUpdate aUpdate)
{
  m_updates.push_back(std::move(aUpdate));
  if (m_updates.size() > kHistoryLimit) {
    m_updates.pop_front();
  }
}

void
UpdateHistory::Clear()
{
  m_updates.clear();
}

wire::ConfigurationUpdate
UpdateHistory::Compose(int64_t aHeldVersion, const Snapshot& aCurrent) const
{
  wire::ConfigurationUpdate whole = MakeWhole(aCurrent);
  auto step = std::find_if(m_updates.begin(), m_updates.end(), [aHeldVersion](const auto& aUpdate) {
    return !aUpdate.whole && aUpdate.fromVersion == aHeldVersion;
  });
  nlohmann::json operations = nlohmann::json::array();
  int64_t reached = aHeldVersion;
  for (; step != m_updates.end() && step->fromVersion == reached && !step->whole; ++step) {
    const Result<std::string> patch = Decompress(step->payload, kDocumentLimitBytes);
    if (!patch) {
      return whole;
    }
    for (auto& operation : nlohmann::json::parse(patch.value())) {
      operations.push_back(std::move(operation));
    }
    reached = step->toVersion;
  }
  if (reached != aCurrent.version) {
    return whole;
  }
  wire::ConfigurationUpdate update;
  update.fromVersion = aHeldVersion;
  update.toVersion = aCurrent.version;
  update.hash = aCurrent.hash;
  update.payload = Compress(operations.dump());
  return update.payload.size() < whole.payload.size() ? update : whole;
}

const std::deque<wire::ConfigurationUpdate>&
UpdateHistory::Updates() const
{
  return m_updates;
}

} // namespace mimosarun
