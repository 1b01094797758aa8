#include "common/file.h"
#include "common/log.h"
#include "control/controller.h"
#include "node/node.h"
#include "operators/controlcommandrunner.h"
#include "operators/operatorserver.h"
#include "platform/run.h"
#include "process/metrics.h"
#include "process/shutdownsignal.h"
#include "settings/processsettings.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace mimosarun;

static constexpr int kExitFailure = 1;
static constexpr int kExitInvalidInput = 2;
/** Longer than a command may run. */
static constexpr std::chrono::milliseconds kOperatorDrainTime{ 9000 };
static constexpr const char* kVersion = "mimosarund 0.1.0";

/** Options of the command line. */
struct Arguments
{
  std::string settings;
  /** Run with the settings file of the infrastructure. */
  bool platform = false;
  bool check = false;
  BalancePolicy policy = BalancePolicy::ExpectedTime;
};

static int
ReportStartFailure(const Error& aError)
{
  const bool isCorrupt = aError.kind == ErrorKind::CorruptData;
  Log(isCorrupt ? Event::JournalCorrupt : Event::PortRefused, { { "reason", aError.message } });
  std::cerr << "mimosarund: " << aError.message << "\n";
  return kExitFailure;
}

static int
RunControl(const ProcessSettings& aSettings, ShutdownSignal& aSignal)
{
  Metrics metrics;
  Controller controller(aSettings);
  if (const Result<void> started = controller.Start(); !started) {
    return ReportStartFailure(started.error());
  }
  ControlCommandRunner commandRunner(controller);
  const auto refreshMetrics = [&] {
    metrics.Gauge("mimosarun_configuration_version", "Version accepted as this replica knows", {})
      .Set(static_cast<double>(controller.Configuration().Current()->version));
    metrics.Gauge("mimosarun_claims", "Idempotency keys held", {})
      .Set(static_cast<double>(controller.ClaimCount()));
    for (const AppliedRollout& rollout : controller.Configuration().AppliedRollouts()) {
      const wire::RolloutRecord& record = rollout.record;
      const prometheus::Labels labels{ { "service", record.serviceName } };
      metrics.Gauge("mimosarun_rollout_state", "0 running, 1 completed, 2 rolled back", labels)
        .Set(static_cast<double>(record.state));
      metrics.Gauge("mimosarun_rollout_stage", "Stage from 0 (ordered) to 4 (full)", labels)
        .Set(static_cast<double>(ParseRolloutStage(record.stage)));
      metrics.Gauge("mimosarun_rollout_share", "Share of the calls that go to the new version", labels)
        .Set(static_cast<double>(record.candidatePermille) / 1000);
    }
  };
  const auto runCommand = [&](const OperatorRequest& aRequest, Deadline aDeadline) {
    return commandRunner.Run(aRequest, aDeadline);
  };
  const auto server = OperatorServer::Start({ .address = aSettings.operatorAddress,
                                              .runCommand = runCommand,
                                              .metrics = &metrics,
                                              .refreshMetrics = refreshMetrics });
  if (!server) {
    return ReportStartFailure(server.error());
  }
  Log(Event::ProcessStarted, { { "role", "control" } });
  aSignal.Wait();
  Log(Event::ProcessStopping);
  const bool isDrained = server.value()->Drain(SteadyClock::now() + kOperatorDrainTime);
  Log(Event::OperatorsDrained, { { "finished", isDrained ? "yes" : "no" } });
  return 0;
}

static int
RunNode(const ProcessSettings& aSettings, BalancePolicy aPolicy, ShutdownSignal& aSignal)
{
  Metrics metrics;
  Node node(aSettings, metrics, { .balancer = { .policy = aPolicy } });
  if (const Result<void> started = node.Start(); !started) {
    return ReportStartFailure(started.error());
  }
  const auto runCommand = [&](const OperatorRequest& aRequest, Deadline /*aDeadline*/) {
    return node.RunCommand(aRequest);
  };
  const auto server = OperatorServer::Start({ .address = aSettings.operatorAddress,
                                              .runCommand = runCommand,
                                              .metrics = &metrics,
                                              .refreshMetrics = [&] { node.RefreshMetrics(); } });
  if (!server) {
    return ReportStartFailure(server.error());
  }
  Log(Event::ProcessStarted, { { "role", "node" } });
  aSignal.Wait();
  Log(Event::ProcessStopping);
  node.Shutdown();
  server.value()->Drain(SteadyClock::now() + kOperatorDrainTime);
  node.Stop();
  return 0;
}

static Result<BalancePolicy>
ParsePolicy(const std::string& aText)
{
  if (aText == "expected-time") {
    return BalancePolicy::ExpectedTime;
  }
  if (aText == "random") {
    return BalancePolicy::Random;
  }
  if (aText == "least-in-flight") {
    return BalancePolicy::LeastInFlight;
  }
  return Fail(ErrorKind::InvalidInput, "--balance: use expected-time, random or least-in-flight");
}

static Result<Arguments>
ParseArguments(int aCount, char** aValues)
{
  cxxopts::Options options("mimosarund", "One process of the service mesh: a node or a control replica");
  options.add_options()(
    "settings", "File with the settings, JSON with comments", cxxopts::value<std::string>())(
    "platform", "Run with the settings file of the infrastructure")("check", "Check the settings and exit")(
    "balance", "Policy for choosing gates", cxxopts::value<std::string>()->default_value("expected-time"))(
    "version", "Print the version")("help", "Print this help");
  try {
    const auto parsed = options.parse(aCount, aValues);
    if (parsed.count("help") > 0 || parsed.count("version") > 0) {
      std::cout << (parsed.count("help") > 0 ? options.help() : std::string(kVersion)) << "\n";
      std::exit(0);
    }
    if (parsed.count("platform") > 0) {
      return Arguments{ .settings = {}, .platform = true };
    }
    if (parsed.count("settings") == 0) {
      return Fail(ErrorKind::InvalidInput, "--settings FILE is missing; see --help");
    }
    Arguments arguments{ .settings = parsed["settings"].as<std::string>(),
                         .check = parsed.count("check") > 0 };
    MIMOSARUN_TRY(arguments.policy, ParsePolicy(parsed["balance"].as<std::string>()));
    return arguments;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::InvalidInput, std::string(error.what()) + "; see --help");
  }
}

int
main(int aCount, char** aValues)
{
  const Result<Arguments> arguments = ParseArguments(aCount, aValues);
  if (!arguments) {
    std::cerr << "mimosarund: " << arguments.error().message << "\n";
    return kExitInvalidInput;
  }
  if (arguments.value().platform) {
    return platform::Run();
  }
  const Result<ProcessSettings> settings = LoadSettings(arguments.value().settings);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitInvalidInput;
  }
  if (arguments.value().check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  const bool isControl = settings.value().role == ProcessRole::Control;
  ShutdownSignal signal;
  OpenLog({ .file = settings.value().logFile,
            .process = settings.value().name,
            .role = isControl ? "control" : "node",
            .failureDomain = settings.value().failureDomain });
  return isControl ? RunControl(settings.value(), signal)
                   : RunNode(settings.value(), arguments.value().policy, signal);
}
