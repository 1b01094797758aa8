#include "common/file.h"
#include "common/random.h"
#include "configuration/configuration.h"
#include "load/loadcommand.h"
#include "operators/command.h"
#include "operators/operatorclient.h"
#include "timeline/timelinecommand.h"

#include <cxxopts.hpp>

#include <iostream>
#include <sstream>

using namespace mimosarun;

static constexpr int kExitInvalidInput = 2;
static constexpr size_t kDocumentLimitBytes = 4UL * 1024 * 1024;
static constexpr const char* kVersion = "mimosarun 0.1.0";

static void
PrintHelp()
{
  std::cout
    << "mimosarun [--server IP:PORT[,IP:PORT...]] [--json] [--request-id ID] [--author NAME] COMMAND\n\n"
    << CommandHelp() << "  check FILE                      validate a configuration file offline\n"
    << "  timeline FOLDER OUTPUT          merge the logs of a folder into an HTML page and a trace\n"
    << "  load PLAN                       send calls as planned in a file and report the results\n"
    << "  version | help\n\n"
    << "Exit status: 0 done, 1 refused, 2 wrong input, 3 not run, 4 unknown.\n";
}

static std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

static int
PrintError(const Error& aError)
{
  std::cerr << aError.message << "\n";
  return kExitInvalidInput;
}

static int
CheckFile(const std::vector<std::string>& aWords)
{
  if (aWords.size() != 2) {
    return PrintError({ .message = "use: mimosarun check FILE" });
  }
  const Result<std::string> text = ReadFile(aWords[1], kDocumentLimitBytes);
  if (!text) {
    return PrintError(text.error());
  }
  const Result<Configuration> configuration =
    ParseConfiguration(text.value(), aWords[1], DocumentOrigin::Operator);
  if (!configuration) {
    return PrintError(configuration.error());
  }
  std::cout << aWords[1] << ": valid, " << configuration.value().services.size() << " services, "
            << configuration.value().routes.size() << " routes\n";
  return 0;
}

/** Reads and validates the file of 'propose FILE based on N', and removes its name from the words. */
static Result<void>
LoadDocument(std::vector<std::string>& aWords, OperatorRequest& aRequest)
{
  if (aWords.size() < 2 || aWords[0] != "propose") {
    return boost::outcome_v2::success();
  }
  MIMOSARUN_TRY(aRequest.document, ReadFile(aWords[1], kDocumentLimitBytes));
  MIMOSARUN_TRY(const Configuration checked,
                ParseConfiguration(aRequest.document, aWords[1], DocumentOrigin::Operator));
  static_cast<void>(checked);
  aWords.erase(aWords.begin() + 1);
  return boost::outcome_v2::success();
}

static int
SendCommand(const cxxopts::ParseResult& aParsed, std::vector<std::string> aWords)
{
  OperatorRequest request;
  if (const Result<void> loaded = LoadDocument(aWords, request); !loaded) {
    return PrintError(loaded.error());
  }
  for (const std::string& word : aWords) {
    request.command += (request.command.empty() ? "" : " ") + word;
  }
  if (const Result<OperatorCommand> parsed = ParseCommand(request.command); !parsed) {
    return PrintError(parsed.error());
  }
  request.requestId = aParsed["request-id"].as<std::string>();
  if (request.requestId.empty()) {
    request.requestId = RandomIdentifier();
  }
  request.author = aParsed["author"].as<std::string>();
  const auto timeout = std::chrono::seconds(aParsed["timeout"].as<int>());
  const OperatorClient client(Split(aParsed["server"].as<std::string>()));
  const Answer answer = client.Send(request, SteadyClock::now() + timeout);
  std::cout << (aParsed.count("json") > 0 ? ToJson(answer) : ToTable(answer));
  return static_cast<int>(answer.code);
}

static int
Run(const cxxopts::ParseResult& aParsed)
{
  std::vector<std::string> words;
  if (aParsed.count("words") > 0) {
    words = aParsed["words"].as<std::vector<std::string>>();
  }
  if (words.empty() || words[0] == "help" || aParsed.count("help") > 0) {
    PrintHelp();
    return words.empty() && aParsed.count("help") == 0 ? kExitInvalidInput : 0;
  }
  if (words[0] == "version") {
    std::cout << kVersion << "\n";
    return 0;
  }
  if (words[0] == "check") {
    return CheckFile(words);
  }
  if (words[0] == "load") {
    return RunLoadCommand(words);
  }
  if (words[0] == "timeline") {
    return RunTimelineCommand(words);
  }
  return SendCommand(aParsed, words);
}

int
main(int aCount, char** aValues)
{
  cxxopts::Options options("mimosarun", "Command and query language of the service mesh");
  options.add_options()("server",
                        "Operator addresses, tried in order",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:7003"))("json", "Print JSON")(
    "request-id",
    "Request identifier of a command that is sent again",
    cxxopts::value<std::string>()->default_value(""))(
    "author", "Author's name in the history", cxxopts::value<std::string>()->default_value("operator"))(
    "timeout", "Seconds to wait", cxxopts::value<int>()->default_value("10"))("help", "Print help")(
    "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  try {
    return Run(options.parse(aCount, aValues));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "; see 'mimosarun help'\n";
    return kExitInvalidInput;
  }
}
