// An instance that has left gets requests again after the node beside it was started again.

#include "../lib-2/documents.h"
#include "../lib-2/fleet.h"

using namespace review;

static constexpr int64_t kDrain = 2500;
static constexpr int64_t kStableWindow = 3000;
/** A node needs this long at most to start and to be counted as started. */
static constexpr int64_t kServesOn = 12000;
/** How late the delayed ping arrives. */
static constexpr int64_t kPingDelay = 4800;

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
                                                      .pauseMillis = 80 }));
      consumers.back()->Start();
    }
  }
  Sleep(6000);

  // The instance leaves as PROTOCOL.md says: it deregisters first, serves on for a while, and exits.
  Instance& leaving = *instances.front();
  Machine& machine = *deployment.Sidecars().front();
  leaving.StopBeats();
  const std::string latePing = leaving.MakePing("ready");
  const int64_t pingMadeAt = Now();
  leaving.BeginLeaving();
  const int status = leaving.Deregister();
  const int64_t confirmedAt = Now();
  record.Line(leaving.Id() + " deregistered, answered " + std::to_string(status));
  if (status != 200) {
    return Finish(record, kCouldNotRun, "the deregistration wasn't confirmed");
  }
  Sleep(300);
  if (HasTrouble()) {
    deployment.KillProcess(machine);
  }
  const int64_t restartedAt = HasTrouble() ? Now() + 300 : 0;
  SleepUntil(pingMadeAt + kPingDelay);
  const int late = leaving.SendPing(latePing);
  record.Line("the ping that " + leaving.Id() + " made at " + std::to_string(pingMadeAt) +
              ", before it deregistered, arrives; answered " + std::to_string(late));
  SleepUntil(confirmedAt + kServesOn);
  leaving.Exit();
  record.Line(leaving.Id() + " exits");
  Sleep(2000);
  for (const auto& consumer : consumers) {
    consumer->Stop();
  }

  // DRAIN, as written for confirmations: sent and sent on by machines in touch, later than drain.
  std::map<std::string, Attempt> attempts;
  for (const auto& consumer : consumers) {
    for (const Attempt& attempt : consumer->Attempts()) {
      attempts[attempt.id] = attempt;
    }
  }
  const int64_t inTouchFrom = std::max(confirmedAt + kDrain, restartedAt + 700 + kStableWindow);
  std::map<std::string, int64_t> namedLeavingAt;
  for (const auto& [id, attempt] : attempts) {
    if (attempt.isLeavingNamed) {
      int64_t& first = namedLeavingAt.try_emplace(attempt.machine, attempt.answeredAt).first->second;
      first = std::min(first, attempt.answeredAt);
    }
  }
  int afterConfirmation = 0;
  int afterAnswer = 0;
  int unanswered = 0;
  for (const Run& run : leaving.Runs()) {
    const auto attempt = attempts.find(run.id);
    if (attempt == attempts.end()) {
      continue;
    }
    afterConfirmation += run.at > inTouchFrom && attempt->second.sentAt > inTouchFrom ? 1 : 0;
    const auto named = namedLeavingAt.find(attempt->second.machine);
    const bool isRestarted = HasTrouble() && attempt->second.machine == machine.name;
    afterAnswer +=
      !isRestarted && named != namedLeavingAt.end() && attempt->second.sentAt > named->second + kDrain ? 1
                                                                                                       : 0;
    unanswered += attempt->second.status != 200 ? 1 : 0;
  }
  const std::string text =
    std::to_string(afterConfirmation) +
    " requests reached the instance later than drain after the confirmation " + "by machines in touch; " +
    std::to_string(afterAnswer) +
    " of them or others later than drain after their machine had passed on Server-Leaving; " +
    std::to_string(unanswered) + " that ran there weren't answered with 200";
  return Finish(record, afterConfirmation + afterAnswer > 0 ? kBroken : kHeld, text);
}
