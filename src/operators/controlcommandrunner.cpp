#include "operators/controlcommandrunner.h"

#include "common/compression.h"
#include "operators/memberanswer.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace mimosarun {

static constexpr std::chrono::milliseconds kStatusTimeout{ 400 };
static constexpr std::chrono::milliseconds kCatchUpTimeout{ 1000 };
static constexpr int64_t kSilentAfterMilliseconds = 5000;
static constexpr int kEndAttempts = 5;

ControlCommandRunner::ControlCommandRunner(Controller& aController)
  : m_controller(aController)
{
}

Answer
ToAnswer(const wire::CommandResult& aResult, const std::string& aDoneMessage)
{
  switch (aResult.code) {
    case wire::ResultCode::Done:
      return { .code = AnswerCode::Done, .message = aDoneMessage };
    case wire::ResultCode::StaleBase:
    case wire::ResultCode::NoSuchProposal:
    case wire::ResultCode::Taken:
      return { .code = AnswerCode::Refused, .message = "not run: " + aResult.message };
    case wire::ResultCode::Invalid:
      return { .code = AnswerCode::Invalid, .message = aResult.message };
    case wire::ResultCode::Unknown:
      return { .code = AnswerCode::Unknown, .message = "unknown: " + aResult.message };
    case wire::ResultCode::NotLeader:
    case wire::ResultCode::Unavailable:
      return { .code = AnswerCode::NotRun, .message = aResult.message };
  }
  return { .code = AnswerCode::Unknown, .message = aResult.message };
}

Answer
ControlCommandRunner::Run(const OperatorRequest& aRequest, Deadline aDeadline)
{
  const Result<OperatorCommand> parsed = ParseCommand(aRequest.command);
  if (!parsed) {
    return { .code = AnswerCode::Invalid, .message = parsed.error().message };
  }
  const OperatorCommand& command = parsed.value();
  switch (command.verb) {
    case CommandVerb::Show:
      return Filter(CatchUpAndShow(command, aDeadline), command.conditions);
    case CommandVerb::Diff:
      return ShowDifference(command.firstNumber, command.secondNumber);
    case CommandVerb::Explain:
      if (command.subject == "version") {
        return ExplainVersion(command.firstNumber);
      }
      return { .code = AnswerCode::Invalid,
               .message =
                 "control replicas send no calls; ask the operator address of the call's entry node" };
    case CommandVerb::AddReplica:
      return ToAnswer(m_controller.AddReplica(command.subject, aDeadline), command.subject + " is added");
    case CommandVerb::RemoveReplica:
      return ToAnswer(m_controller.RemoveReplica(command.subject, aDeadline),
                      command.subject + " is removed");
    case CommandVerb::StartRollout:
      return StartRollout(command, aRequest, aDeadline);
    case CommandVerb::EndRollout:
      return EndRollout(command, aRequest, aDeadline);
    default:
      return SubmitCommand(command, aRequest, aDeadline);
  }
}

Answer
ControlCommandRunner::SubmitCommand(const OperatorCommand& aCommand,
                                    const OperatorRequest& aRequest,
                                    Deadline aDeadline)
{
  wire::Command command;
  command.requestId = aRequest.requestId;
  command.author = aRequest.author;
  command.atMicros = WallNow().time_since_epoch().count();
  switch (aCommand.verb) {
    case CommandVerb::Propose:
      command.kind = wire::CommandKind::Propose;
      command.basedOn = aCommand.firstNumber;
      command.body = Compress(aRequest.document);
      break;
    case CommandVerb::Accept:
      command.kind = wire::CommandKind::Accept;
      command.proposal = aCommand.firstNumber;
      break;
    default:
      command.kind = wire::CommandKind::SetTargetState;
      command.target = aCommand.subject;
      command.intent = aCommand.verb == CommandVerb::Drain  ? wire::TargetIntent::Draining
                       : aCommand.verb == CommandVerb::Stop ? wire::TargetIntent::Stopped
                                                            : wire::TargetIntent::Serving;
      break;
  }
  const wire::CommandResult result =
    m_controller.Client().Submit(kConfigurationGroup, command, aDeadline, ProbePolicy::ProbeFirst);
  if (aCommand.verb == CommandVerb::Propose) {
    return ToAnswer(result, "proposal " + std::to_string(result.proposal));
  }
  return ToAnswer(result, "version " + std::to_string(result.version));
}

Answer
ControlCommandRunner::CatchUpAndShow(const OperatorCommand& aCommand, Deadline aDeadline)
{
  const bool caughtUp =
    m_controller.WaitUntilCaughtUp(std::min(aDeadline, SteadyClock::now() + kCatchUpTimeout));
  const std::string& subject = aCommand.subject;
  if (subject == "in-force" || subject == "targets" || subject == "nodes") {
    m_controller.CollectReportsOfOtherRegions();
  }
  Answer answer = Show(aCommand);
  if (!caughtUp) {
    answer.message += (answer.message.empty() ? "" : "\n") +
                      std::string("this replica can't reach a leader; the data may be outdated");
  }
  return answer;
}

Answer
ControlCommandRunner::Show(const OperatorCommand& aCommand)
{
  const std::string& subject = aCommand.subject;
  if (subject == "in-force") {
    return ShowInForce();
  }
  if (subject == "services") {
    return ShowServices();
  }
  if (subject == "routes") {
    return ShowRoutes();
  }
  if (subject == "targets") {
    return ShowTargets();
  }
  if (subject == "nodes") {
    return ShowNodes();
  }
  if (subject == "teams") {
    return ShowTeams();
  }
  if (subject == "control") {
    return ShowControl();
  }
  if (subject == "rollouts") {
    return ShowRollouts();
  }
  return subject == "versions" ? ShowVersions() : ShowProposals();
}

static std::string
Join(const std::vector<std::string>& aWords)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

/** Returns the services of a route, with weights if there are several. */
static std::string
SharesText(const Route& aRoute)
{
  if (aRoute.shares.size() == 1) {
    return aRoute.shares.front().service;
  }
  std::vector<std::string> words;
  for (const RouteShare& share : aRoute.shares) {
    words.push_back(share.service + ":" + std::to_string(share.weight));
  }
  return Join(words);
}

Answer
ControlCommandRunner::ShowInForce() const
{
  const int64_t current = m_controller.Configuration().Current()->version;
  Answer answer{ .columns = {
                   "failure-domain", "region", "version", "nodes", "state", "age-ms", "stragglers" } };
  answer.message = "accepted here: version " + std::to_string(current);
  for (const wire::DomainReport& report : m_controller.DomainReports().NewestReportPerDomain()) {
    const bool silent = report.ageMillis > kSilentAfterMilliseconds;
    for (const auto& [version, count] : report.nodesAtVersion) {
      const char* state = silent ? "silent" : version == current ? "in-force" : "behind";
      answer.rows.push_back({ report.failureDomain,
                              report.region,
                              std::to_string(version),
                              std::to_string(count),
                              state,
                              std::to_string(report.ageMillis),
                              version == current ? "" : Join(report.stragglers) });
    }
  }
  return answer;
}

Answer
ControlCommandRunner::ShowServices() const
{
  Answer answer{ .columns = { "service", "home-region" } };
  for (const auto& [name, service] : m_controller.Configuration().Current()->configuration.services) {
    answer.rows.push_back({ name, service.homeRegion });
  }
  return answer;
}

Answer
ControlCommandRunner::ShowRoutes() const
{
  Answer answer{
    .columns = { "route", "host", "path", "methods", "service", "timeout-ms", "repeat", "class", "limit" }
  };
  for (const Route& route : m_controller.Configuration().Current()->configuration.routes) {
    answer.rows.push_back({ route.name,
                            route.host,
                            route.pathPrefix,
                            Join(route.methods),
                            SharesText(route),
                            std::to_string(route.timeout.count()),
                            Name(route.repeatPolicy),
                            Name(route.callClass),
                            route.limit });
  }
  return answer;
}

/** Returns one record for each member that a relay reported. */
static std::map<std::string, wire::Member>
ReportedMembers(const std::vector<wire::DomainReport>& aReports)
{
  std::map<std::string, wire::Member> members;
  for (const wire::DomainReport& report : aReports) {
    for (const wire::Member& member : report.sample) {
      members[member.name] = member;
    }
  }
  return members;
}

Answer
ControlCommandRunner::ShowTargets() const
{
  const SnapshotPointer current = m_controller.Configuration().Current();
  const auto& intents = current->configuration.targets;
  Answer answer{ .columns = {
                   "target", "service", "failure-domain", "region", "node", "state", "intent", "slots" } };
  std::set<std::string> reportedTargets;
  for (const auto& [name, member] : ReportedMembers(m_controller.DomainReports().NewestReportPerDomain())) {
    if (member.targetName.empty()) {
      continue;
    }
    reportedTargets.insert(member.targetName);
    const auto intent = intents.find(member.targetName);
    answer.rows.push_back({ member.targetName,
                            member.serviceName,
                            member.failureDomain,
                            member.region,
                            member.name,
                            PhaseName(member.phase),
                            intent == intents.end() ? "serving" : Name(intent->second),
                            std::to_string(member.slots) });
  }
  for (const auto& [name, intent] : intents) {
    if (!reportedTargets.contains(name)) {
      answer.rows.push_back({ name, "", "", "", "", "absent", Name(intent), "" });
    }
  }
  return answer;
}

static std::string
FormatNumber(double aNumber)
{
  char text[32];
  const int length = std::snprintf(text, sizeof text, "%.1f", aNumber);
  return std::string(text, static_cast<size_t>(length));
}

Answer
ControlCommandRunner::ShowTeams()
{
  Answer answer{
    .columns = { "team", "priority", "rate", "burst", "demand", "level", "kept", "mode", "holders", "silent" }
  };
  std::map<std::string, QuotaState> states;
  const std::optional<std::vector<QuotaState>> held = m_controller.Quotas().States();
  for (const QuotaState& state : held.value_or(std::vector<QuotaState>{})) {
    states.emplace(state.team, state);
  }
  const SnapshotPointer current = m_controller.Configuration().CurrentWithTeams();
  for (const auto& [name, team] : current->configuration.teams) {
    std::vector<std::string> row{ name,
                                  std::to_string(team.priority),
                                  team.requestsPerSecond > 0 ? FormatNumber(team.requestsPerSecond) : "any",
                                  FormatNumber(team.burst) };
    if (const auto state = states.find(name); state != states.end()) {
      row.insert(row.end(),
                 { FormatNumber(state->second.demand),
                   FormatNumber(state->second.level),
                   FormatNumber(state->second.kept),
                   Name(state->second.mode),
                   std::to_string(state->second.holders),
                   std::to_string(state->second.silentHolders) });
    } else {
      row.insert(row.end(), 6, "-");
    }
    answer.rows.push_back(std::move(row));
  }
  if (!held) {
    answer.message = "only the leader knows the use; ask " + m_controller.Status(kConfigurationGroup).leader;
  }
  return answer;
}

Answer
ControlCommandRunner::ShowNodes() const
{
  std::vector<wire::Member> members;
  for (auto& [name, member] : ReportedMembers(m_controller.DomainReports().NewestReportPerDomain())) {
    members.push_back(member);
  }
  return NodeTable(members);
}

Answer
ControlCommandRunner::ShowControl()
{
  Answer answer{ .columns = { "group",
                              "replica",
                              "region",
                              "failure-domain",
                              "member",
                              "state",
                              "term",
                              "applied",
                              "silent-ms" } };
  for (const std::string& group : m_controller.GroupNames()) {
    wire::GroupStatus newestStatus;
    std::map<std::string, Result<wire::GroupStatus>> statuses;
    for (const ReplicaSettings& replica : m_controller.Settings().replicas) {
      Result<wire::GroupStatus> status =
        m_controller.StatusAt(replica.name, group, SteadyClock::now() + kStatusTimeout);
      if (status && status.value().formed && status.value().term >= newestStatus.term) {
        const bool isLeader = status.value().leader == status.value().replica;
        if (isLeader || newestStatus.group.empty()) {
          newestStatus = status.value();
        }
      }
      statuses.emplace(replica.name, std::move(status));
    }
    for (const wire::Replica& member : newestStatus.members) {
      const auto status = statuses.find(member.name);
      const bool answered = status != statuses.end() && status->second.has_value();
      const wire::GroupStatus replicaStatus = answered ? status->second.value() : wire::GroupStatus{};
      const auto silentTime = newestStatus.silentMillis.find(member.name);
      answer.rows.push_back(
        { group,
          member.name,
          member.region,
          member.failureDomain,
          member.voter ? "voter" : "learner",
          !answered                             ? "unreachable"
          : replicaStatus.failed                ? "storage-failed"
          : replicaStatus.leader == member.name ? "leader"
          : replicaStatus.leader.empty()        ? "no-leader"
                                                : "follower",
          answered ? std::to_string(replicaStatus.term) : "",
          answered ? std::to_string(replicaStatus.applied) : "",
          silentTime == newestStatus.silentMillis.end() ? "" : std::to_string(silentTime->second) });
    }
  }
  return answer;
}

Answer
ControlCommandRunner::ShowVersions() const
{
  Answer answer{ .columns = { "version", "author", "change", "accepted-at-us", "hash" } };
  for (const VersionSummary& version : m_controller.Configuration().Versions()) {
    answer.rows.push_back({ std::to_string(version.version),
                            version.author,
                            version.summary,
                            std::to_string(version.acceptedAt.time_since_epoch().count()),
                            version.hash.substr(0, 12) });
  }
  return answer;
}

Answer
ControlCommandRunner::ShowProposals() const
{
  Answer answer{ .columns = { "proposal", "based-on", "author", "bytes" } };
  for (const wire::Proposal& proposal : m_controller.Configuration().Proposals()) {
    answer.rows.push_back({ std::to_string(proposal.number),
                            std::to_string(proposal.basedOn),
                            proposal.author,
                            std::to_string(proposal.body.size()) });
  }
  return answer;
}

Answer
ControlCommandRunner::ShowRollouts() const
{
  Answer answer{ .columns = { "service",
                              "version",
                              "state",
                              "stage",
                              "permille",
                              "elapsed-ms",
                              "duration-ms",
                              "revision",
                              "reason",
                              "next" } };
  const std::map<std::string, std::string> explanations = m_controller.Rollouts().Explanations();
  for (const AppliedRollout& rollout : m_controller.Configuration().AppliedRollouts()) {
    const wire::RolloutRecord& record = rollout.record;
    const bool isRunning = record.state == wire::RolloutState::Running;
    const auto explanation = explanations.find(record.serviceName);
    const int64_t elapsed =
      isRunning ? rollout.Elapsed(SteadyClock::now(), WallNow()).count() : record.elapsedMillis;
    answer.rows.push_back({ record.serviceName,
                            record.candidateVersion,
                            Name(record.state),
                            record.stage,
                            std::to_string(record.candidatePermille),
                            std::to_string(elapsed),
                            std::to_string(record.durationMillis),
                            std::to_string(record.revision),
                            record.reason,
                            !isRunning                          ? ""
                            : explanation == explanations.end() ? "ask the leader; see 'show control'"
                                                                : explanation->second });
  }
  return answer;
}

Answer
ControlCommandRunner::StartRollout(const OperatorCommand& aCommand,
                                   const OperatorRequest& aRequest,
                                   Deadline aDeadline)
{
  const Result<SnapshotPointer> newest =
    m_controller.ReadNewestConfiguration(std::min(aDeadline, SteadyClock::now() + kCatchUpTimeout));
  if (!newest) {
    return { .code = AnswerCode::NotRun, .message = newest.error().message };
  }
  if (!newest.value()->configuration.services.contains(aCommand.subject)) {
    return { .code = AnswerCode::Invalid,
             .message = aCommand.subject + ": no such service; see 'show services'" };
  }
  wire::RolloutRecord order;
  order.serviceName = aCommand.subject;
  order.candidateVersion = aCommand.candidateVersion;
  order.durationMillis = std::chrono::milliseconds(std::chrono::seconds(aCommand.firstNumber)).count();
  wire::Command command;
  command.kind = wire::CommandKind::StartRollout;
  command.requestId = aRequest.requestId;
  command.author = aRequest.author;
  command.atMicros = WallNow().time_since_epoch().count();
  command.__set_rollout(order);
  const wire::CommandResult result =
    m_controller.Client().Submit(kConfigurationGroup, command, aDeadline, ProbePolicy::ProbeFirst);
  return ToAnswer(result, "the roll-out is ordered; see 'show rollouts'");
}

Answer
ControlCommandRunner::EndRollout(const OperatorCommand& aCommand,
                                 const OperatorRequest& aRequest,
                                 Deadline aDeadline)
{
  wire::CommandResult result;
  // The leader may change the roll-out between the read and the command.
  for (int attempt = 0; attempt < kEndAttempts; ++attempt) {
    const Deadline readDeadline = std::min(aDeadline, SteadyClock::now() + kCatchUpTimeout);
    if (!m_controller.WaitUntilCaughtUp(readDeadline)) {
      return { .code = AnswerCode::NotRun, .message = "not run: no quorum of control replicas is reachable" };
    }
    const std::optional<AppliedRollout> rollout = m_controller.Configuration().FindRollout(aCommand.subject);
    if (!rollout) {
      return { .code = AnswerCode::Refused, .message = aCommand.subject + ": never had a roll-out" };
    }
    wire::RolloutRecord change = rollout->record;
    change.state = wire::RolloutState::RolledBack;
    change.reason = "ended by " + (aRequest.author.empty() ? std::string("an operator") : aRequest.author);
    change.elapsedMillis = rollout->Elapsed(SteadyClock::now(), WallNow()).count();
    wire::Command command;
    command.kind = wire::CommandKind::AdvanceRollout;
    command.author = aRequest.author;
    command.basedOn = rollout->record.revision;
    command.atMicros = WallNow().time_since_epoch().count();
    command.__set_rollout(change);
    result = m_controller.Client().Submit(kConfigurationGroup, command, aDeadline, ProbePolicy::ProbeFirst);
    if (result.code != wire::ResultCode::StaleBase || rollout->record.state != wire::RolloutState::Running) {
      break;
    }
  }
  return ToAnswer(result, "the roll-out is rolled back");
}

Answer
ControlCommandRunner::ExplainVersion(int64_t aVersion) const
{
  for (const VersionSummary& version : m_controller.Configuration().Versions()) {
    if (version.version != aVersion) {
      continue;
    }
    Answer answer = ShowInForce();
    answer.message =
      "version " + std::to_string(aVersion) + ": " + version.summary + ", by " + version.author;
    const Result<std::string> patch = m_controller.Configuration().Difference(aVersion - 1, aVersion);
    answer.message += patch ? "\n" + patch.value() : "";
    return answer;
  }
  return { .code = AnswerCode::Refused,
           .message = "version " + std::to_string(aVersion) + " isn't in the history; see 'show versions'" };
}

Answer
ControlCommandRunner::ShowDifference(int64_t aFrom, int64_t aTo) const
{
  const Result<std::string> patch = m_controller.Configuration().Difference(aFrom, aTo);
  if (!patch) {
    return { .code = AnswerCode::Refused, .message = patch.error().message };
  }
  return { .message = patch.value() };
}

} // namespace mimosarun
