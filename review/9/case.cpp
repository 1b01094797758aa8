// One ping of another writer takes an instance out of use for good.

#include "../lib-2/documents.h"
#include "../lib-2/fleet.h"

using namespace review;

static constexpr int64_t kBefore = 4000;
static constexpr int64_t kAfter = 70000;

/** What became of the requests of one kind. */
struct Share
{
  int sent = 0;
  int served = 0;

  double Value() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

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
    instances.push_back(std::make_unique<Instance>(
      record,
      *machine,
      Instance::Options{ .id = "i-" + RandomHex().substr(0, 10), .service = machine->service }));
    if (!instances.back()->IsListening()) {
      return Finish(record, kCouldNotRun, "a port of an instance isn't free");
    }
  }
  deployment.StartAll();
  const std::string document =
    ConfigurationText(1,
                      { { .name = "r-look", .prefix = "/look/", .kind = "safe", .service = "desk" },
                        { .name = "r-book", .prefix = "/book/", .kind = "unsafe", .service = "desk" },
                        { .name = "r-list", .prefix = "/list/", .kind = "safe", .service = "front" } },
                      { "desk", "front" });
  if (!ReplaceConfiguration(deployment, record, 0, document) || !deployment.WaitUntilReady(20000)) {
    return Finish(record, kCouldNotRun, "the deployment didn't start");
  }
  const std::vector<Machine*> machines = deployment.Sidecars();
  std::map<std::string, std::vector<std::unique_ptr<Consumer>>> consumers;
  for (Machine* machine : machines) {
    for (const char* kind : { "look", "book", "list" }) {
      const bool isBooking = std::string(kind) == "book";
      consumers[kind].push_back(
        std::make_unique<Consumer>(record,
                                   *machine,
                                   Consumer::Options{ .host = kHost,
                                                      .path = "/" + std::string(kind) + "/",
                                                      .method = isBooking ? "POST" : "GET",
                                                      .bodyBytes = isBooking ? 400UL : 0UL,
                                                      .timeoutMillis = 1500,
                                                      .pauseMillis = 300 }));
      consumers[kind].back()->Start();
    }
  }
  Sleep(kBefore);
  for (size_t i = 0; HasTrouble() && i < 4; ++i) {
    const Machine& machine = *machines[i];
    const std::string ping =
      "{\"service\":\"not-a-service\",\"address\":\"" + machine.ip + ":" + std::to_string(kAppPort) +
      "\",\"zone\":\"" + machine.zone.name +
      "\",\"version\":\"v1\",\"capacity\":6,\"state\":\"ready\",\"warmupLeft\":\"0ms\"," +
      "\"seq\":1,\"born\":" + std::to_string(WallMillis()) + "}";
    const int status = Call(machine.ip,
                            kControlPort,
                            "POST",
                            "/-/Instances.Heartbeat/i-other" + std::to_string(i),
                            { { "Content-Type", "application/json" } },
                            ping)
                         .Status();
    record.Line("another writer sends one ping to the node on " + machine.name + ", answered " +
                std::to_string(status) + ": " + ping);
    Sleep(500);
  }
  // The instances go on and send their own pings each 1.5 s.
  Sleep(kAfter);
  Share all;
  std::map<std::string, Share> kinds;
  for (auto& [kind, group] : consumers) {
    for (const auto& consumer : group) {
      consumer->Stop();
    }
    Share& share = kinds[kind];
    for (const auto& consumer : group) {
      for (const Attempt& attempt : consumer->Attempts()) {
        const int served = attempt.status == 200 ? 1 : 0;
        ++share.sent;
        share.served += served;
        ++all.sent;
        all.served += served;
      }
    }
  }
  // Starved: a kind of request is served less than a quarter as often as all requests.
  bool isStarved = false;
  std::string text =
    "served of all requests " + std::to_string(all.served) + " of " + std::to_string(all.sent);
  for (const auto& [kind, share] : kinds) {
    isStarved = isStarved || 4 * share.Value() < all.Value();
    text += ", of " + kind + " " + std::to_string(share.served) + " of " + std::to_string(share.sent);
  }
  return Finish(record, isStarved ? kBroken : kHeld, text);
}
