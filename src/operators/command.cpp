#include "operators/command.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <string_view>

namespace mimosarun {

static constexpr std::array<std::string_view, 8> kSubjects{ "in-force", "services", "routes",    "targets",
                                                            "control",  "versions", "proposals", "nodes" };

/** The words of a command, read from the left. */
class Words
{
public:
  explicit Words(const std::string& aText)
  {
    std::istringstream stream(aText);
    for (std::string word; stream >> word;) {
      m_words.push_back(word);
    }
  }

  bool AtEnd() const { return m_next == m_words.size(); }

  std::string Take() { return AtEnd() ? std::string() : m_words[m_next++]; }

  bool TakeIf(const std::string& aWord)
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
Expected(const std::string& aWhat, const std::string& aFound)
{
  return Fail(ErrorKind::InvalidInput,
              "expected " + aWhat + ", found " + (aFound.empty() ? "the end" : "'" + aFound + "'") +
                "; see 'mimosarun help'");
}

static Result<int64_t>
TakeNumber(Words& aWords)
{
  const std::string word = aWords.Take();
  int64_t number = 0;
  const auto parsed = std::from_chars(word.data(), word.data() + word.size(), number);
  if (word.empty() || parsed.ec != std::errc() || parsed.ptr != word.data() + word.size() || number < 0) {
    return Expected("a number", word);
  }
  return number;
}

static Result<std::string>
TakeName(Words& aWords, const std::string& aWhat)
{
  std::string word = aWords.Take();
  if (word.empty()) {
    return Expected(aWhat, word);
  }
  return word;
}

static Result<void>
ParseConditions(Words& aWords, OperatorCommand& aCommand)
{
  if (!aWords.TakeIf("where")) {
    return boost::outcome_v2::success();
  }
  do {
    MIMOSARUN_TRY(std::string field, TakeName(aWords, "a field"));
    if (!aWords.TakeIf("=")) {
      return Expected("'='", aWords.Take());
    }
    MIMOSARUN_TRY(std::string value, TakeName(aWords, "a value"));
    aCommand.conditions.push_back({ .field = std::move(field), .value = std::move(value) });
  } while (aWords.TakeIf("and"));
  return boost::outcome_v2::success();
}

static Result<OperatorCommand>
ParseShow(Words& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::Show };
  command.subject = aWords.Take();
  if (std::find(kSubjects.begin(), kSubjects.end(), command.subject) == kSubjects.end()) {
    std::string choices;
    for (const std::string_view subject : kSubjects) {
      choices += (choices.empty() ? "" : ", ") + std::string(subject);
    }
    return Expected("one of " + choices, command.subject);
  }
  BOOST_OUTCOME_TRYV(ParseConditions(aWords, command));
  return command;
}

static Result<OperatorCommand>
ParsePropose(Words& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::Propose };
  if (!aWords.TakeIf("based") || !aWords.TakeIf("on")) {
    return Expected("'based on VERSION'", aWords.Take());
  }
  MIMOSARUN_TRY(command.first, TakeNumber(aWords));
  return command;
}

static Result<OperatorCommand>
ParseExplain(Words& aWords)
{
  OperatorCommand command{ .verb = CommandVerb::Explain };
  if (aWords.TakeIf("version")) {
    command.subject = "version";
    MIMOSARUN_TRY(command.first, TakeNumber(aWords));
    return command;
  }
  if (aWords.TakeIf("call")) {
    MIMOSARUN_TRY(const std::string call, TakeName(aWords, "a call identifier"));
    command.subject = "call";
    command.conditions.push_back({ .field = "call", .value = call });
    return command;
  }
  return Expected("'version' or 'call'", aWords.Take());
}

static Result<OperatorCommand>
ParseReplica(Words& aWords, CommandVerb aVerb)
{
  OperatorCommand command{ .verb = aVerb };
  if (!aWords.TakeIf("replica")) {
    return Expected("'replica'", aWords.Take());
  }
  MIMOSARUN_TRY(command.subject, TakeName(aWords, "the name of a replica"));
  return command;
}

static Result<OperatorCommand>
ParseTarget(Words& aWords, CommandVerb aVerb)
{
  OperatorCommand command{ .verb = aVerb };
  MIMOSARUN_TRY(command.subject, TakeName(aWords, "the name of a target"));
  return command;
}

static Result<OperatorCommand>
ParseNumbers(Words& aWords, CommandVerb aVerb)
{
  OperatorCommand command{ .verb = aVerb };
  MIMOSARUN_TRY(command.first, TakeNumber(aWords));
  if (aVerb == CommandVerb::Diff) {
    MIMOSARUN_TRY(command.second, TakeNumber(aWords));
  }
  return command;
}

static Result<OperatorCommand>
ParseVerb(Words& aWords)
{
  const std::string verb = aWords.Take();
  if (verb == "show") {
    return ParseShow(aWords);
  }
  if (verb == "propose") {
    return ParsePropose(aWords);
  }
  if (verb == "accept") {
    return ParseNumbers(aWords, CommandVerb::Accept);
  }
  if (verb == "diff") {
    return ParseNumbers(aWords, CommandVerb::Diff);
  }
  if (verb == "drain") {
    return ParseTarget(aWords, CommandVerb::Drain);
  }
  if (verb == "undrain") {
    return ParseTarget(aWords, CommandVerb::Undrain);
  }
  if (verb == "stop") {
    return ParseTarget(aWords, CommandVerb::Stop);
  }
  if (verb == "explain") {
    return ParseExplain(aWords);
  }
  if (verb == "add") {
    return ParseReplica(aWords, CommandVerb::AddReplica);
  }
  if (verb == "remove") {
    return ParseReplica(aWords, CommandVerb::RemoveReplica);
  }
  return Expected("a verb", verb);
}

Result<OperatorCommand>
ParseCommand(const std::string& aText)
{
  Words words(aText);
  MIMOSARUN_TRY(OperatorCommand command, ParseVerb(words));
  if (!words.AtEnd()) {
    return Expected("the end", words.Take());
  }
  return command;
}

std::string
CommandHelp()
{
  return "  show in-force | services | routes | targets | nodes | control | versions | proposals\n"
         "       [where FIELD = VALUE [and FIELD = VALUE ...]]\n"
         "  propose FILE based on VERSION   store a configuration as a proposal\n"
         "  accept PROPOSAL                 put a proposal in force\n"
         "  diff VERSION VERSION            changes between two versions, the older first\n"
         "  drain TARGET                    send a target no new work\n"
         "  undrain TARGET                  let a target take work again\n"
         "  stop TARGET                     drain a target, then tell it to stop\n"
         "  explain version VERSION         who changed what, and where it is in force\n"
         "  explain call ID                 what happened to a call, asked at its entry node\n"
         "  add replica NAME                take a control replica in as a learner\n"
         "  remove replica NAME             take a control replica out\n";
}

} // namespace mimosarun
