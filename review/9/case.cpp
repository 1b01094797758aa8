// Settings that name no seed, written while no control process serves, end every node, again after each
// start.

#include "../lib-2/documents.h"
#include "../lib-2/fleet.h"

using namespace review;

static constexpr int64_t kCoreDown = 1000;
/** The list that a settings file is written from lags by seedLag. */
static constexpr int64_t kSeedLag = 3000;
/** A tenth of the machines in use, two at least, with three ends each. */
static constexpr int kAllowedEnds = 2;

int
main()
{
  Record record(RecordPath());
  Deployment deployment(
    record, { .sidecars = { "desk", "desk", "desk", "desk", "front", "front", "front", "front" } });
  if (!deployment.CanRun()) {
    return Finish(record, kCouldNotRun, "target/src/mimosarund is missing; run the build of the deploy file");
  }
  std::vector<std::unique_ptr<Instance>> instances;
  for (Machine* machine : deployment.Sidecars()) {
    instances.push_back(std::make_unique<Instance>(record,
                                                   *machine,
                                                   Instance::Options{ .id = "i-" + RandomHex().substr(0, 10),
                                                                      .service = machine->service,
                                                                      .workMillis = 250 }));
    if (!instances.back()->IsListening()) {
      return Finish(record, kCouldNotRun, "a port of an instance isn't free");
    }
  }
  deployment.StartAll();
  const std::string document =
    ConfigurationText(1,
                      { { .name = "r-look", .prefix = "/look/", .kind = "safe", .service = "desk" },
                        { .name = "r-book", .prefix = "/book/", .kind = "unsafe", .service = "desk" } },
                      { "desk", "front" });
  if (!ReplaceConfiguration(deployment, record, 0, document) || !deployment.WaitUntilReady(20000)) {
    return Finish(record, kCouldNotRun, "the deployment didn't start");
  }
  std::vector<std::unique_ptr<Consumer>> consumers;
  for (Machine* machine : deployment.Sidecars()) {
    for (const char* method : { "GET", "POST" }) {
      const bool isBooking = std::string(method) == "POST";
      consumers.push_back(
        std::make_unique<Consumer>(record,
                                   *machine,
                                   Consumer::Options{ .host = kHost,
                                                      .path = isBooking ? "/book/" : "/look/",
                                                      .method = method,
                                                      .bodyBytes = isBooking ? 400UL : 0UL,
                                                      .timeoutMillis = 1500,
                                                      .pauseMillis = 100 }));
      consumers.back()->Start();
    }
  }
  Sleep(8000);
  const int64_t killedAt = Now();
  deployment.KillCore(kCoreDown);
  if (HasTrouble()) {
    deployment.ChangeSeeds(false);
    SleepUntil(killedAt + kCoreDown + kSeedLag);
    deployment.ChangeSeeds(true);
  }
  SleepUntil(killedAt + 12000);
  for (const auto& consumer : consumers) {
    consumer->Stop();
  }
  std::set<std::string> ran;
  for (const auto& instance : instances) {
    for (const Run& run : instance->Runs()) {
      ran.insert(run.id);
    }
  }
  int lost = 0;
  for (const auto& consumer : consumers) {
    for (const Attempt& attempt : consumer->Attempts()) {
      lost += attempt.isClosed && ran.contains(attempt.id) ? 1 : 0;
    }
  }
  int machinesWithThree = 0;
  for (Machine* machine : deployment.Sidecars()) {
    const int ends = deployment.OwnEndsOf(*machine);
    record.Line(machine->name + ": its process ended by itself " + std::to_string(ends) + " times");
    machinesWithThree += ends >= 3 ? 1 : 0;
  }
  const std::string text = std::to_string(deployment.OwnEnds().size()) +
                           " times a process ended by itself, three times or more on " +
                           std::to_string(machinesWithThree) + " of 8 sidecar machines; " +
                           std::to_string(lost) +
                           " requests that ran at sound instances got a closed connection for an answer";
  return Finish(record, machinesWithThree >= kAllowedEnds ? kBroken : kHeld, text);
}
