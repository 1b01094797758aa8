// A confirmed configuration ends every control process, again after each start, for good.

#include "../lib-2/documents.h"
#include "../lib-2/fleet.h"

using namespace review;

/** Levels of lists in a member that no page names; the document has 400 KB, far below what a replica reads.
 */
static constexpr size_t kDeepLevels = 200000;
static constexpr size_t kOrdinaryLevels = 10;
static constexpr const char* kKey = "key-of-t1";
static constexpr int64_t kStableWindow = 4000;
/** For this long after the confirmation the processes are started again whenever they end. */
static constexpr int64_t kWatchTime = 30000;

static std::string
Document(int aVersion, size_t aLevels)
{
  const std::string tenants = std::string(",\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"") + kKey +
                              "\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}]";
  const std::string note =
    aLevels == 0 ? "" : ",\"note\":" + std::string(aLevels, '[') + std::string(aLevels, ']');
  return ConfigurationText(aVersion,
                           { { .name = "r-look", .prefix = "/look/", .kind = "safe", .service = "desk" } },
                           { "desk", "front" },
                           tenants + note);
}

int
main()
{
  Record record(RecordPath());
  DeploymentOptions options{ .sidecars = {
                               "desk", "desk", "desk", "desk", "front", "front", "front", "front" } };
  options.contracts.push_back("keys");
  options.bounds.insert(options.bounds.end(), { "revokeStrict=true", "revoke=5000ms" });
  Deployment deployment(record, options);
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
  if (!ReplaceConfiguration(deployment, record, 0, Document(1, 0)) || !deployment.WaitUntilReady(20000)) {
    return Finish(record, kCouldNotRun, "the deployment didn't start");
  }
  std::vector<std::unique_ptr<Consumer>> consumers;
  for (Machine* machine : deployment.Sidecars()) {
    consumers.push_back(
      std::make_unique<Consumer>(record,
                                 *machine,
                                 Consumer::Options{ .host = kHost,
                                                    .path = "/look/",
                                                    .timeoutMillis = 1500,
                                                    .pauseMillis = 400,
                                                    .authorization = std::string("Bearer ") + kKey }));
    consumers.back()->Start();
  }
  Sleep(8000);
  const std::string second = Document(2, HasTrouble() ? kDeepLevels : kOrdinaryLevels);
  if (!ReplaceConfiguration(deployment, record, 1, second)) {
    return Finish(record, kHeld, "the second configuration isn't confirmed");
  }
  const int64_t confirmedAt = Now();
  // Traffic and the platform go on; the processes that end are started again.
  SleepUntil(confirmedAt + kWatchTime);
  // A further change, as operators send it.
  const bool isThirdConfirmed = ReplaceConfiguration(deployment, record, 2, Document(3, 0), 10000);
  record.Line(std::string("operator: the third configuration is ") +
              (isThirdConfirmed ? "confirmed" : "not confirmed within 10 s"));
  // At the end of the day the operator reads repeatedly, at any node, for at least stableWindow.
  const std::string third = Document(3, 0);
  const std::string& newest = isThirdConfirmed ? third : second;
  const std::vector<Machine*> cores = deployment.Cores();
  const int64_t readUntil = Now() + 2 * kStableWindow;
  int reads = 0;
  int newestRead = 0;
  while (Now() < readUntil) {
    Machine& core = *cores[static_cast<size_t>(reads++) % cores.size()];
    const Message answer = Call(core.ip, kControlPort, "GET", "/-/Config.Read", {}, {}, 1000);
    newestRead += answer.Status() == 200 && (answer.body == newest || answer.body == third) ? 1 : 0;
    record.Line("operator: GET /-/Config.Read at " + core.name + " answered " +
                std::to_string(answer.Status()) + ", " + std::to_string(answer.body.size()) + " bytes");
    Sleep(100);
  }
  for (const auto& consumer : consumers) {
    consumer->Stop();
  }
  int before = 0;
  int servedBefore = 0;
  int after = 0;
  int servedAfter = 0;
  for (const auto& consumer : consumers) {
    for (const Attempt& attempt : consumer->Attempts()) {
      if (attempt.sentAt > confirmedAt - 5000 && attempt.sentAt < confirmedAt) {
        ++before;
        servedBefore += attempt.status == 200 ? 1 : 0;
      } else if (attempt.sentAt > confirmedAt + 10000) {
        ++after;
        servedAfter += attempt.status == 200 ? 1 : 0;
      }
    }
  }
  const std::string text =
    "the configuration was confirmed; " + std::to_string(deployment.OwnEnds().size()) +
    " times a process ended by itself; of " + std::to_string(reads) + " reads at the end " +
    std::to_string(newestRead) + " brought it or a later one; the next change was " +
    (isThirdConfirmed ? "" : "not ") + "confirmed; served with a valid key: " + std::to_string(servedBefore) +
    " of " + std::to_string(before) + " before and " + std::to_string(servedAfter) + " of " +
    std::to_string(after) + " from 10 s after on";
  // CONFIG: read back at the end of the day, the configuration doesn't come.
  return Finish(record, newestRead == 0 ? kBroken : kHeld, text);
}
