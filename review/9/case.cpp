// A route whose name has a space is accepted, and no request on it is ever served.

#include "../lib-2/documents.h"
#include "../lib-2/fleet.h"

using namespace review;

static constexpr int kRequests = 40;

/** Sends requests on a route from all machines in turn; returns how many were answered with 200. */
static int
CountServed(Record& aRecord,
            const std::vector<Machine*>& aMachines,
            const std::string& aPath,
            const std::string& aMethod,
            std::map<int, int>& aStatuses)
{
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    Consumer consumer(
      aRecord,
      *aMachines[static_cast<size_t>(i) % aMachines.size()],
      Consumer::Options{ .host = kHost, .path = aPath, .method = aMethod, .timeoutMillis = 1500 });
    const int status = consumer.SendOne().status;
    ++aStatuses[status];
    served += status == 200 ? 1 : 0;
    Sleep(30);
  }
  return served;
}

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
  const RouteText first{ .name = "r-look", .prefix = "/look/", .kind = "safe", .service = "desk" };
  if (!ReplaceConfiguration(deployment, record, 0, ConfigurationText(1, { first }, { "desk", "front" })) ||
      !deployment.WaitUntilReady(20000)) {
    return Finish(record, kCouldNotRun, "the deployment didn't start");
  }
  Sleep(6000);
  // A change adds two routes to the same service.
  const std::string separator = HasTrouble() ? " " : "-";
  const RouteText look{
    .name = "lamp" + separator + "hours", .prefix = "/lamp/", .kind = "safe", .service = "desk"
  };
  const RouteText book{
    .name = "book" + separator + "callout", .prefix = "/book/", .kind = "unsafe", .service = "desk"
  };
  const std::string changed = ConfigurationText(2, { first, look, book }, { "desk", "front" });
  if (!ReplaceConfiguration(deployment, record, 1, changed)) {
    return Finish(record, kHeld, "the change with the names isn't accepted");
  }
  // In steady state: later than configApply after the confirmation, without any disruption.
  Sleep(6000);
  const std::vector<Machine*> machines = deployment.Sidecars();
  std::map<int, int> firstStatuses;
  std::map<int, int> addedStatuses;
  const int onFirst = CountServed(record, machines, "/look/", "GET", firstStatuses);
  const int onAdded = CountServed(record, machines, "/lamp/", "GET", addedStatuses) +
                      CountServed(record, machines, "/book/", "POST", addedStatuses);
  std::string statuses;
  for (const auto& [status, count] : addedStatuses) {
    statuses += " " + std::to_string(count) + " x " + std::to_string(status);
  }
  const std::string text = "of " + std::to_string(kRequests) + " requests on the first route " +
                           std::to_string(onFirst) + " were served, of " + std::to_string(2 * kRequests) +
                           " on the added routes " + std::to_string(onAdded) + ":" + statuses;
  // CONFIG: served less than a quarter as often.
  return Finish(record, 4 * onAdded < 2 * onFirst ? kBroken : kHeld, text);
}
