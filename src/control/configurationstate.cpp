#include "control/configurationstate.h"

#include "common/compression.h"
#include "common/log.h"
#include "control/group.h"
#include "control/membership.h"
#include "wire/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mimosarun {

static constexpr size_t kVersionSummaryLimit = 1024;
static constexpr size_t kProposalLimit = 64;
static constexpr size_t kDocumentLimitBytes = 16UL * 1024 * 1024;

ConfigurationState::ConfigurationState(DocumentParser aParser, KeyRedactor aRedactor)
  : m_parser(std::move(aParser))
  , m_current(EmptySnapshot())
  , m_nodeUpdates(std::move(aRedactor))
{
}

wire::CommandResult
ConfigurationState::Apply(const wire::LogEntry& aEntry)
{
  const std::lock_guard lock(m_mutex);
  m_appliedIndex = aEntry.index;
  const wire::Command& command = aEntry.command;
  if (const auto cached = m_results.Find(command.requestId); cached && !command.requestId.empty()) {
    return *cached;
  }
  wire::CommandResult result = ApplyLocked(command);
  m_results.Store(command.requestId, result);
  if (result.code != wire::ResultCode::Done) {
    Log(Event::CommandRefused, { { "author", command.author }, { "reason", result.message } });
  }
  return result;
}

wire::CommandResult
ConfigurationState::ApplyLocked(const wire::Command& aCommand)
{
  switch (aCommand.kind) {
    case wire::CommandKind::Propose:
      return Propose(aCommand);
    case wire::CommandKind::Accept:
      return Accept(aCommand);
    case wire::CommandKind::SetTargetState:
      return SetTargetState(aCommand);
    case wire::CommandKind::Replace:
      return Replace(aCommand);
    case wire::CommandKind::StartRollout:
    case wire::CommandKind::AdvanceRollout:
      return ChangeRollout(aCommand);
    default:
      return {};
  }
}

wire::CommandResult
ConfigurationState::CheckBase(int64_t aBase) const
{
  if (aBase == m_current->version) {
    return {};
  }
  const std::string author = m_versions.empty() ? "nobody" : m_versions.back().author;
  wire::CommandResult refusal = MakeFailedResult(
    wire::ResultCode::StaleBase,
    "based on version " + std::to_string(aBase) + ", but version " + std::to_string(m_current->version) +
      " by " + author + " is in force; look at it and propose again based on it");
  refusal.version = m_current->version;
  return refusal;
}

wire::CommandResult
ConfigurationState::Propose(const wire::Command& aCommand)
{
  if (wire::CommandResult baseCheck = CheckBase(aCommand.basedOn); baseCheck.code != wire::ResultCode::Done) {
    return baseCheck;
  }
  const Result<std::string> document = Decompress(aCommand.body, kDocumentLimitBytes);
  if (!document) {
    return MakeFailedResult(wire::ResultCode::Invalid, document.error().message);
  }
  const Result<Configuration> parsed =
    ParseConfiguration(document.value(), "proposal", DocumentOrigin::Operator);
  if (!parsed) {
    return MakeFailedResult(wire::ResultCode::Invalid, parsed.error().message);
  }
  wire::Proposal proposal;
  proposal.number = m_nextProposal++;
  proposal.basedOn = aCommand.basedOn;
  proposal.author = aCommand.author;
  proposal.body = aCommand.body;
  proposal.atMicros = aCommand.atMicros;
  wire::CommandResult result;
  result.proposal = proposal.number;
  result.version = m_current->version;
  m_proposals[proposal.number] = std::move(proposal);
  if (m_proposals.size() > kProposalLimit) {
    m_proposals.erase(m_proposals.begin());
  }
  Log(Event::ProposalStored, { { "proposal", result.proposal }, { "author", aCommand.author } });
  return result;
}

wire::CommandResult
ConfigurationState::Accept(const wire::Command& aCommand)
{
  const auto proposal = m_proposals.find(aCommand.proposal);
  if (proposal == m_proposals.end()) {
    return MakeFailedResult(wire::ResultCode::NoSuchProposal,
                            "proposal " + std::to_string(aCommand.proposal) +
                              " isn't open; list the open ones with 'show proposals'");
  }
  if (wire::CommandResult baseCheck = CheckBase(proposal->second.basedOn);
      baseCheck.code != wire::ResultCode::Done) {
    return baseCheck;
  }
  const std::string body = Decompress(proposal->second.body, kDocumentLimitBytes).value();
  nlohmann::json document = nlohmann::json::parse(body, nullptr, true, true);
  const nlohmann::json current = nlohmann::json::parse(m_current->text);
  if (current.contains("targets")) {
    document["targets"] = current["targets"];
  }
  wire::CommandResult result =
    Install(aCommand, document.dump(), "proposal " + std::to_string(aCommand.proposal));
  if (result.code == wire::ResultCode::Done) {
    m_proposals.erase(proposal);
  }
  return result;
}

wire::CommandResult
ConfigurationState::SetTargetState(const wire::Command& aCommand)
{
  const auto intent = static_cast<TargetIntent>(aCommand.intent);
  nlohmann::json document = nlohmann::json::parse(m_current->text);
  nlohmann::json& targets = document["targets"];
  if (intent == TargetIntent::Serving) {
    targets.erase(aCommand.target);
  } else {
    targets[aCommand.target] = { { "intent", Name(intent) } };
  }
  if (targets.empty()) {
    document.erase("targets");
  }
  return Install(aCommand, document.dump(), aCommand.target + " " + Name(intent));
}

bool
ConfigurationState::WasAcceptedLocked(int64_t aVersion, const std::string& aHash) const
{
  return std::any_of(m_versions.begin(), m_versions.end(), [&](const VersionSummary& aSummary) {
    return aSummary.version == aVersion && aSummary.hash == aHash;
  });
}

bool
ConfigurationState::WasAccepted(int64_t aVersion, const std::string& aHash) const
{
  const std::lock_guard lock(m_mutex);
  return WasAcceptedLocked(aVersion, aHash);
}

wire::CommandResult
ConfigurationState::Replace(const wire::Command& aCommand)
{
  wire::CommandResult result;
  result.version = aCommand.version;
  if (WasAcceptedLocked(aCommand.version, aCommand.hash)) {
    return result;
  }
  if (wire::CommandResult baseCheck = CheckBase(aCommand.basedOn); baseCheck.code != wire::ResultCode::Done) {
    return baseCheck;
  }
  if (aCommand.version <= m_current->version) {
    return MakeFailedResult(wire::ResultCode::Invalid,
                            "version " + std::to_string(aCommand.version) + " isn't above the current " +
                              std::to_string(m_current->version) + "; choose a higher number");
  }
  const Result<std::string> text = aCommand.delta
                                     ? DecompressDelta(aCommand.body, m_current->text, kDocumentLimitBytes)
                                     : Decompress(aCommand.body, kDocumentLimitBytes);
  if (!text) {
    return MakeFailedResult(wire::ResultCode::Invalid, text.error().message);
  }
  // The replica that received the command validated the document, so replaying the log needs no parsing.
  SnapshotPointer snapshot = MakeValidatedSnapshot(aCommand.version, text.value());
  if (snapshot->hash != aCommand.hash) {
    return MakeFailedResult(wire::ResultCode::Invalid, "the document doesn't match its hash; send it again");
  }
  return SetCurrent(std::move(snapshot), aCommand, "replaced");
}

wire::CommandResult
ConfigurationState::ChangeRollout(const wire::Command& aCommand)
{
  const Deadline now = SteadyClock::now();
  wire::CommandResult result = aCommand.kind == wire::CommandKind::StartRollout
                                 ? m_rollouts.Start(aCommand, now)
                                 : m_rollouts.Advance(aCommand, now);
  m_rolloutRevision = m_rollouts.Revision();
  m_changed.notify_all();
  return result;
}

wire::CommandResult
ConfigurationState::Install(const wire::Command& aCommand,
                            const std::string& aText,
                            const std::string& aSummary)
{
  Result<SnapshotPointer> snapshot = MakeSnapshot(m_current->version + 1, aText, m_parser);
  if (!snapshot) {
    return MakeFailedResult(wire::ResultCode::Invalid, snapshot.error().message);
  }
  return SetCurrent(std::move(snapshot.value()), aCommand, aSummary);
}

wire::CommandResult
ConfigurationState::SetCurrent(SnapshotPointer aSnapshot,
                               const wire::Command& aCommand,
                               const std::string& aSummary)
{
  m_current = std::move(aSnapshot);
  m_history.Add(*m_current);
  m_versions.push_back({ .version = m_current->version,
                         .author = aCommand.author,
                         .summary = aSummary,
                         .acceptedAt = WallTime(std::chrono::microseconds(aCommand.atMicros)),
                         .hash = m_current->hash });
  if (m_versions.size() > kVersionSummaryLimit) {
    m_versions.erase(m_versions.begin());
  }
  m_changed.notify_all();
  Log(Event::VersionAccepted,
      { { "version", m_current->version }, { "author", aCommand.author }, { "summary", aSummary } });
  wire::CommandResult result;
  result.version = m_current->version;
  return result;
}

std::string
ConfigurationState::Image() const
{
  const std::lock_guard lock(m_mutex);
  wire::ConfigurationImage image;
  image.version = m_current->version;
  for (const VersionSummary& summary : m_versions) {
    wire::VersionRecord record;
    record.version = summary.version;
    record.author = summary.author;
    record.summary = summary.summary;
    record.atMicros = summary.acceptedAt.time_since_epoch().count();
    record.hash = summary.hash;
    image.history.push_back(std::move(record));
  }
  image.updates = m_history.Image();
  for (const auto& [number, proposal] : m_proposals) {
    image.proposals.push_back(proposal);
  }
  image.nextProposal = m_nextProposal;
  image.results = m_results.Image();
  const wire::RolloutSet rollouts = m_rollouts.Set();
  image.rollouts = rollouts.rollouts;
  image.rolloutRevision = rollouts.revision;
  return Encode(image);
}

Result<void>
ConfigurationState::Restore(const std::string& aImage, int64_t aIndex)
{
  const std::lock_guard lock(m_mutex);
  m_appliedIndex = 0;
  m_current = EmptySnapshot();
  m_history.Clear();
  m_nodeUpdates.Clear();
  m_versions.clear();
  m_proposals.clear();
  m_nextProposal = 1;
  m_results.Restore({});
  m_rollouts.Restore({}, 0, SteadyClock::now());
  m_rolloutRevision = 0;
  if (aImage.empty()) {
    m_appliedIndex = aIndex;
    return boost::outcome_v2::success();
  }
  MIMOSARUN_TRY(const wire::ConfigurationImage image, Decode<wire::ConfigurationImage>(aImage));
  BOOST_OUTCOME_TRYV(m_history.Restore(image.updates));
  if (image.version > 0) {
    MIMOSARUN_TRY(const std::string text, TextLocked(image.version));
    MIMOSARUN_TRY(m_current, MakeSnapshot(image.version, text, m_parser));
  }
  for (const wire::VersionRecord& record : image.history) {
    m_versions.push_back({ .version = record.version,
                           .author = record.author,
                           .summary = record.summary,
                           .acceptedAt = WallTime(std::chrono::microseconds(record.atMicros)),
                           .hash = record.hash });
  }
  for (const wire::Proposal& proposal : image.proposals) {
    m_proposals[proposal.number] = proposal;
  }
  m_nextProposal = image.nextProposal;
  m_results.Restore(image.results);
  m_rollouts.Restore(image.rollouts, image.rolloutRevision, SteadyClock::now());
  m_rolloutRevision = image.rolloutRevision;
  m_appliedIndex = aIndex;
  m_changed.notify_all();
  return boost::outcome_v2::success();
}

SnapshotPointer
ConfigurationState::Current() const
{
  const std::lock_guard lock(m_mutex);
  return m_current;
}

SnapshotPointer
ConfigurationState::CurrentAt(int64_t aIndex) const
{
  const std::lock_guard lock(m_mutex);
  return m_appliedIndex >= aIndex ? m_current : nullptr;
}

SnapshotPointer
ConfigurationState::WaitForNewer(int64_t aHeldVersion,
                                 Deadline aDeadline,
                                 const std::function<bool()>& aIsInterrupted) const
{
  std::unique_lock lock(m_mutex);
  m_changed.wait_until(
    lock, aDeadline, [&] { return m_current->version > aHeldVersion || aIsInterrupted(); });
  return m_current;
}

void
ConfigurationState::WakeWaiters() const
{
  // A waiter that has just found that it isn't interrupted holds the lock until it waits.
  const std::lock_guard lock(m_mutex);
  m_changed.notify_all();
}

wire::ConfigurationUpdate
ConfigurationState::UpdateFrom(int64_t aHeldVersion) const
{
  const std::lock_guard lock(m_mutex);
  return m_nodeUpdates.UpdateFrom(aHeldVersion, *m_current, m_history);
}

SnapshotPointer
ConfigurationState::CurrentWithTeams() const
{
  const std::lock_guard lock(m_mutex);
  if (m_current->configuration.hasTeams || !m_nodeUpdates.HasTeams(*m_current)) {
    return m_current;
  }
  if (m_withTeams == nullptr || m_withTeams->version != m_current->version) {
    const Result<SnapshotPointer> parsed = MakeSnapshot(m_current->version, m_current->text, m_parser);
    m_withTeams = parsed ? parsed.value() : m_current;
  }
  return m_withTeams;
}

bool
ConfigurationState::HasTeams() const
{
  const std::lock_guard lock(m_mutex);
  return m_nodeUpdates.HasTeams(*m_current);
}

wire::RolloutSet
ConfigurationState::Rollouts() const
{
  const std::lock_guard lock(m_mutex);
  return m_rollouts.Set();
}

std::vector<AppliedRollout>
ConfigurationState::AppliedRollouts() const
{
  const std::lock_guard lock(m_mutex);
  return m_rollouts.All();
}

std::optional<AppliedRollout>
ConfigurationState::FindRollout(const std::string& aService) const
{
  const std::lock_guard lock(m_mutex);
  return m_rollouts.Find(aService);
}

std::vector<wire::Proposal>
ConfigurationState::Proposals() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::Proposal> proposals;
  for (const auto& [number, proposal] : m_proposals) {
    proposals.push_back(proposal);
  }
  return proposals;
}

std::vector<VersionSummary>
ConfigurationState::Versions() const
{
  const std::lock_guard lock(m_mutex);
  return m_versions;
}

Result<std::string>
ConfigurationState::TextLocked(int64_t aVersion) const
{
  const std::string* text = aVersion == 0 ? &EmptySnapshot()->text : m_history.TextOf(aVersion);
  if (text == nullptr) {
    return Fail(ErrorKind::NotFound,
                "history no longer holds version " + std::to_string(aVersion) +
                  "; choose a newer one that 'show versions' lists");
  }
  return *text;
}

Result<std::string>
ConfigurationState::Difference(int64_t aFrom, int64_t aTo) const
{
  const std::lock_guard lock(m_mutex);
  if (aFrom >= aTo) {
    return Fail(ErrorKind::NotFound, "name the older version first; 'show versions' lists them");
  }
  MIMOSARUN_TRY(const std::string from, TextLocked(aFrom));
  MIMOSARUN_TRY(const std::string to, TextLocked(aTo));
  return nlohmann::json::diff(nlohmann::json::parse(from), nlohmann::json::parse(to)).dump(2);
}

} // namespace mimosarun
