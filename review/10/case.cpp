// A request that crashes its instances reaches further ones without end if its consumers leave before the
// crash.

#include "../lib-2/documents.h"
#include "../lib-2/fleet.h"

using namespace review;

static constexpr const char* kCrashPath = "/look/deadly";
static constexpr int kCrashAfter = 1000;
static constexpr int kInstanceBack = 3000;
static constexpr int64_t kStableWindow = 3000;
/** Half of the response-time goal of lamp-hours, as `kinds` says of give_up. */
static constexpr int kLeavesAfter = 400;
static constexpr int kRetries = 14;
static constexpr int kRetryPause = 2500;
/** The rule allows three. */
static constexpr int kAllowedRetries = 3;

/** What the instances of a deployment did, over all their incarnations. */
struct History
{
  std::mutex mutex;
  std::vector<Run> runs;
  std::vector<int64_t> crashes;
};

/** The instance of one machine; it is back some seconds after each crash, with a new identifier. */
class Host
{
public:
  Host(Record& aRecord, const Machine& aMachine, History& aHistory)
    : m_record(aRecord)
    , m_machine(aMachine)
    , m_history(aHistory)
    , m_thread([this] { Live(); })
  {
  }

  ~Host()
  {
    m_stop = true;
    m_thread.join();
  }

private:
  void Live()
  {
    while (!m_stop) {
      Instance instance(m_record,
                        m_machine,
                        { .id = "i-" + RandomHex().substr(0, 10),
                          .service = m_machine.service,
                          .crashPath = kCrashPath,
                          .crashAfterMillis = kCrashAfter });
      while (!m_stop && !instance.HasCrashed()) {
        Sleep(1);
      }
      const int64_t crashedAt = Now();
      instance.Exit();
      const std::vector<Run> runs = instance.Runs();
      {
        const std::lock_guard lock(m_history.mutex);
        m_history.runs.insert(m_history.runs.end(), runs.begin(), runs.end());
        if (instance.HasCrashed()) {
          m_history.crashes.push_back(crashedAt);
          m_record.Line(instance.Id() + " on " + m_machine.name + " crashes");
        }
      }
      for (int waited = 0; !m_stop && waited < kInstanceBack; waited += 50) {
        Sleep(50);
      }
    }
  }

  Record& m_record;
  const Machine& m_machine;
  History& m_history;
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
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
  History history;
  std::vector<std::unique_ptr<Host>> hosts;
  for (Machine* machine : deployment.Sidecars()) {
    hosts.push_back(std::make_unique<Host>(record, *machine, history));
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
  const std::vector<Machine*> machines = deployment.Sidecars();
  for (size_t i = 4; i < machines.size(); ++i) {
    for (int j = 0; j < 3; ++j) {
      consumers.push_back(std::make_unique<Consumer>(record,
                                                     *machines[i],
                                                     Consumer::Options{ .host = kHost,
                                                                        .path = "/book/",
                                                                        .method = "POST",
                                                                        .bodyBytes = 400,
                                                                        .timeoutMillis = 1500,
                                                                        .pauseMillis = 100 }));
      consumers.back()->Start();
    }
  }
  Sleep(7000);
  // The same request comes again and again, at any machine.
  std::map<std::string, int64_t> sentAt;
  for (int i = 0; i < kRetries; ++i) {
    Machine& machine = *machines[4 + static_cast<size_t>(i) % 4];
    const std::string id = RandomHex();
    const auto connection = Connection::Open(machine.ip, kOutboundPort);
    if (connection == nullptr) {
      return Finish(record, kCouldNotRun, "a node accepts no connections");
    }
    const int64_t sent = Now();
    sentAt[id] = sent;
    connection->Send(
      WriteRequest("GET", kCrashPath, kHost, { { "Request-Id", id }, { "Timeout-Ms", "1500" } }, ""));
    Message answer;
    const bool isAnswered = connection->Receive(answer, sent + (HasTrouble() ? kLeavesAfter : 1500));
    connection->Close();
    record.Line("consumer on " + machine.name + ": " + id + " GET " + kCrashPath + " sent at " +
                std::to_string(sent) + ", " +
                (isAnswered     ? "status " + std::to_string(answer.Status())
                 : HasTrouble() ? std::string("the consumer leaves")
                                : std::string("no answer")));
    SleepUntil(sent + kRetryPause);
  }
  for (const auto& consumer : consumers) {
    consumer->Stop();
  }
  hosts.clear();

  std::sort(history.crashes.begin(), history.crashes.end());
  std::set<std::string> reachedLate;
  std::set<std::string> ran;
  for (const Run& run : history.runs) {
    ran.insert(run.id);
    const auto sent = sentAt.find(run.id);
    if (sent != sentAt.end() && history.crashes.size() >= 3 &&
        sent->second > history.crashes[2] + kStableWindow) {
      reachedLate.insert(run.id);
    }
  }
  int lostBookings = 0;
  for (const auto& consumer : consumers) {
    for (const Attempt& attempt : consumer->Attempts()) {
      lostBookings += attempt.status == 502 && ran.contains(attempt.id) ? 1 : 0;
    }
  }
  const std::string text =
    std::to_string(history.crashes.size()) + " instances crashed; " + std::to_string(reachedLate.size()) +
    " retries, sent later than stableWindow after the third crash, reached an instance; " +
    std::to_string(lostBookings) + " bookings of others that were running got 502";
  return Finish(record, static_cast<int>(reachedLate.size()) > kAllowedRetries ? kBroken : kHeld, text);
}
