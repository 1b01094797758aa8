#include "operators/command.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <string_view>

namespace mimosarun {

static constexpr std::array<std::string_view, 10> kShowSubjects{ "in-force",  "services", "routes",
                                                                 "targets",   "control",  "versions",
                                                                 "proposals", "nodes",    "rollouts",
                                                                 "teams" };

/** Splits a command into words and reads them in order. */
class TokenReader
{
public:
  explicit TokenReader(const std::string& aText)
  {
    std::istringstream stream(aText);
    for (std::string word; stream >> word;) {
      m_words.push_back(word);
    }
  }

  bool AtEnd() const { return m_next == m_words.size(); }

  std::string Next() { return AtEnd() ? std::string() : m_words[m_next++]; }

  bool ConsumeIf(const std::string& aWord)
  {
    if (AtEnd() || m_words[m_next] != aWord) {
      return false;
    }
    ++m_next;
    return true;
  }

private:
  std::vector<std::string> m_words;
  size_t m_next = 0;
};

static auto
ExpectedError(const std::string& aExpected, const std::string& aFound)
{
  return Fail(ErrorKind::InvalidInput,
              "expected " + aExpected + ", found " + (aFound.empty() ? "the end" : "'" + aFound + "'") +
                "; see 'mimosarun help'");
}

static Result<int64_t>
ParseNumber(TokenReader& aWords)
{
  const std::string word = aWords.Next();
  int64_t number = 0;
  const auto parsed = std::from_chars(word.data(), word.data() + word.size(), number);
  if (word.empty() || parsed.ec != std::errc() || parsed.ptr != word.data() + word.size() || number < 0) {
    return ExpectedError("a number", word);
  }
  return number;
}

static Result<std::string>
ParseName(TokenReader& aWords, const std::string& aExpected)
{
  std::string word = aWords.Next();
  if (word.empty()) {
    return ExpectedError(aExpected, word);
  }
  return word;
}

static Result<void>
ParseConditions(TokenReader& aWords, OperatorCommand& aCommand)
{
  if (!aWords.ConsumeIf("where")) {
    return boost::outcome_v2::success();
  }
  do {
    MIMOSARUN_TRY(std::string field, ParseName(aWords, "a field"));
    if (!aWords.ConsumeIf("=")) {
      return ExpectedError("'='", aWords.Next());
    }
    MIMOSARUN_TRY(std::string value, ParseName(aWords, "a value"));
    aCommand.conditions.push_back({ .field = std::move(field), .value = std::move(value) });
  } while (aWords.ConsumeIf("and"));
  return boost::outcome_v2::success();
}

static Result<OperatorCommand>
ParseShow(TokenReader& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::Show };
  command.subject = aWords.Next();
  if (std::find(kShowSubjects.begin(), kShowSubjects.end(), command.subject) == kShowSubjects.end()) {
    std::string choices;
    for (const std::string_view subject : kShowSubjects) {
      choices += (choices.empty() ? "" : ", ") + std::string(subject);
    }
    return ExpectedError("one of " + choices, command.subject);
  }
  BOOST_OUTCOME_TRYV(ParseConditions(aWords, command));
  return command;
}

static Result<OperatorCommand>
ParsePropose(TokenReader& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::Propose };
  if (!aWords.ConsumeIf("based") || !aWords.ConsumeIf("on")) {
    return ExpectedError("'based on VERSION'", aWords.Next());
  }
  MIMOSARUN_TRY(command.firstNumber, ParseNumber(aWords));
  return command;
}

static Result<OperatorCommand>
ParseExplain(TokenReader& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::Explain };
  if (aWords.ConsumeIf("version")) {
    command.subject = "version";
    MIMOSARUN_TRY(command.firstNumber, ParseNumber(aWords));
    return command;
  }
  if (aWords.ConsumeIf("call")) {
    MIMOSARUN_TRY(const std::string call, ParseName(aWords, "a call identifier"));
    command.subject = "call";
    command.conditions.push_back({ .field = "call", .value = call });
    return command;
  }
  if (aWords.ConsumeIf("route")) {
    command.subject = "route";
    for (const char* field : { "host", "path", "method" }) {
      MIMOSARUN_TRY(const std::string value, ParseName(aWords, std::string("a ") + field));
      command.conditions.push_back({ .field = field, .value = value });
    }
    return command;
  }
  return ExpectedError("'version', 'call' or 'route'", aWords.Next());
}

static Result<OperatorCommand>
ParseReplicaCommand(TokenReader& aWords, CommandVerb aVerb)
{
  OperatorCommand command{ .verb = aVerb };
  if (!aWords.ConsumeIf("replica")) {
    return ExpectedError("'replica'", aWords.Next());
  }
  MIMOSARUN_TRY(command.subject, ParseName(aWords, "the name of a replica"));
  return command;
}

static Result<OperatorCommand>
ParseTargetCommand(TokenReader& aWords, CommandVerb aVerb)
{
  OperatorCommand command{ .verb = aVerb };
  MIMOSARUN_TRY(command.subject, ParseName(aWords, "the name of a target"));
  return command;
}

static Result<OperatorCommand>
ParseNumberCommand(TokenReader& aWords, CommandVerb aVerb)
{
  OperatorCommand command{ .verb = aVerb };
  MIMOSARUN_TRY(command.firstNumber, ParseNumber(aWords));
  if (aVerb == CommandVerb::Diff) {
    MIMOSARUN_TRY(command.secondNumber, ParseNumber(aWords));
  }
  return command;
}

static Result<OperatorCommand>
ParseStartRollout(TokenReader& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::StartRollout };
  if (!aWords.ConsumeIf("rollout")) {
    return ExpectedError("'rollout SERVICE to VERSION within SECONDS'", aWords.Next());
  }
  MIMOSARUN_TRY(command.subject, ParseName(aWords, "the name of a service"));
  if (!aWords.ConsumeIf("to")) {
    return ExpectedError("'to VERSION'", aWords.Next());
  }
  MIMOSARUN_TRY(command.candidateVersion, ParseName(aWords, "a version"));
  if (!aWords.ConsumeIf("within")) {
    return ExpectedError("'within SECONDS'", aWords.Next());
  }
  MIMOSARUN_TRY(command.firstNumber, ParseNumber(aWords));
  return command;
}

static Result<OperatorCommand>
ParseEndRollout(TokenReader& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::EndRollout };
  if (!aWords.ConsumeIf("rollout")) {
    return ExpectedError("'rollout SERVICE'", aWords.Next());
  }
  MIMOSARUN_TRY(command.subject, ParseName(aWords, "the name of a service"));
  return command;
}

static Result<OperatorCommand>
ParseVerb(TokenReader& aWords)
{
  const std::string verb = aWords.Next();
  if (verb == "show") {
    return ParseShow(aWords);
  }
  if (verb == "propose") {
    return ParsePropose(aWords);
  }
  if (verb == "accept") {
    return ParseNumberCommand(aWords, CommandVerb::Accept);
  }
  if (verb == "diff") {
    return ParseNumberCommand(aWords, CommandVerb::Diff);
  }
  if (verb == "drain") {
    return ParseTargetCommand(aWords, CommandVerb::Drain);
  }
  if (verb == "undrain") {
    return ParseTargetCommand(aWords, CommandVerb::Undrain);
  }
  if (verb == "stop") {
    return ParseTargetCommand(aWords, CommandVerb::Stop);
  }
  if (verb == "explain") {
    return ParseExplain(aWords);
  }
  if (verb == "add") {
    return ParseReplicaCommand(aWords, CommandVerb::AddReplica);
  }
  if (verb == "remove") {
    return ParseReplicaCommand(aWords, CommandVerb::RemoveReplica);
  }
  if (verb == "start") {
    return ParseStartRollout(aWords);
  }
  if (verb == "end") {
    return ParseEndRollout(aWords);
  }
  return ExpectedError("a verb", verb);
}

Result<OperatorCommand>
ParseCommand(const std::string& aText)
{
  TokenReader words(aText);
  MIMOSARUN_TRY(OperatorCommand command, ParseVerb(words));
  if (!words.AtEnd()) {
    return ExpectedError("the end", words.Next());
  }
  return command;
}

std::string
CommandHelp()
{
  return "  show in-force | services | routes | targets | nodes | control | versions | proposals | rollouts "
         "|\n"
         "       teams\n"
         "       [where FIELD = VALUE [and FIELD = VALUE ...]]\n"
         "  propose FILE based on VERSION   store a configuration as a proposal\n"
         "  accept PROPOSAL                 put a proposal in force\n"
         "  diff VERSION VERSION            changes between two versions, the older first\n"
         "  drain TARGET                    send a target no new work\n"
         "  undrain TARGET                  let a target accept work again\n"
         "  stop TARGET                     drain a target, then ask it to stop\n"
         "  start rollout SERVICE to VERSION within SECONDS\n"
         "                                  move calls to the targets of another version of the software\n"
         "  end rollout SERVICE             roll back a running roll-out\n"
         "  explain version VERSION         who changed what, and where it is in force\n"
         "  explain call ID                 what happened to a call; send this to its entry node\n"
         "  explain route HOST PATH METHOD  where a request would go now, and why; send this to a node\n"
         "  add replica NAME                add a control replica as a learner\n"
         "  remove replica NAME             remove a control replica\n";
}

} // namespace mimosarun
