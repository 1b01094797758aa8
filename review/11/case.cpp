// Case 11: consumers upload bodies within maxBodyBytes; the node needs more memory than it has.

#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <thread>

using namespace review;

/** Consumers whose charges are under way when the uploads come; each keeps its connection. */
static constexpr int kWaitingConsumers = 10;
static constexpr int kUploads = 24;
static constexpr size_t kUploadBytes = 4UL * 1024 * 1024;
static constexpr size_t kSmallBytes = 1024;
static constexpr int kMemoryMb = 260;
static constexpr Millis kWork{ 1000 };
static constexpr Millis kTimeout{ 4000 };
/** A machine passes more requests on and closes their connections without an answer. */
static constexpr int kAllowedLosses = 3;

/** What became of a request on a kept connection. */
struct Outcome
{
  std::string id;
  bool isAnswered = false;
  int status = 0;
};

static Outcome
ChargeOnKeptConnection(const Deployment& aDeployment,
                       int aConsumer,
                       std::atomic<int>& aReady,
                       std::atomic<bool>& aGo)
{
  const std::string number = std::to_string(aConsumer);
  Outcome outcome{ .id = "charge-" + number };
  Stream stream(Stream::Connect(aDeployment.Outbound(0), Millis(1000)));
  stream.Send(ConsumerRequest("GET", "/ticket/" + number, "lookup-" + number, kTimeout),
              Clock::now() + kTimeout);
  const auto first = stream.Receive(Clock::now() + kTimeout);
  ++aReady;
  while (!aGo) {
    std::this_thread::sleep_for(Millis(1));
  }
  if (!first || first->Status() != 200) {
    outcome.isAnswered = true;
    return outcome;
  }
  stream.Send(ConsumerRequest("POST", "/charge/" + number, outcome.id, kTimeout, "amount=12"),
              Clock::now() + kTimeout);
  const auto answer = stream.Receive(Clock::now() + kTimeout + Millis(500));
  outcome.isAnswered = answer.has_value();
  outcome.status = answer ? answer->Status() : 0;
  return outcome;
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const size_t uploadBytes = HasTrouble() ? kUploadBytes : kSmallBytes;
  Deployment deployment(
    { .services = { "banco", "cassa", "cassa" }, .work = Millis(100), .nodeMemoryMb = kMemoryMb }, record);
  const std::string configuration = MakeConfiguration(
    1,
    { "banco", "cassa" },
    { { "tickets", "/ticket/", "safe", "banco" }, { "charges", "/charge/", "unsafe", "cassa", "4000ms" } });
  if (!deployment.Start(configuration)) {
    return 2;
  }
  deployment.InstanceAt(1).SetWork(kWork);
  deployment.InstanceAt(2).SetWork(kWork);

  // The platform kills a process that uses more memory than its settings name, and starts it again.
  std::atomic<bool> stop{ false };
  std::atomic<bool> isKilled{ false };
  std::vector<size_t> peaks(deployment.Nodes(), 0);
  std::thread platform([&] {
    while (!stop) {
      for (size_t node = 0; node < deployment.Nodes(); ++node) {
        if (!deployment.IsNodeRunning(node)) {
          deployment.StartNode(node);
        }
        const size_t resident = ResidentBytes(deployment.NodeProcess(node));
        peaks[node] = std::max(peaks[node], resident);
        if (resident > static_cast<size_t>(kMemoryMb) * 1024 * 1024) {
          record.Write("platform: node-" + std::to_string(node) + " uses " + std::to_string(resident >> 20U) +
                       " MiB of " + std::to_string(kMemoryMb));
          deployment.KillNode(node);
          isKilled = true;
          std::this_thread::sleep_for(Millis(500));
          deployment.StartNode(node);
        }
      }
      std::this_thread::sleep_for(Millis(1));
    }
  });

  std::atomic<int> ready{ 0 };
  std::atomic<bool> go{ false };
  std::vector<Outcome> outcomes(kWaitingConsumers);
  std::vector<std::thread> consumers;
  for (int i = 0; i < kWaitingConsumers; ++i) {
    consumers.emplace_back([&, i] { outcomes[i] = ChargeOnKeptConnection(deployment, i, ready, go); });
  }
  while (ready < kWaitingConsumers) {
    std::this_thread::sleep_for(Millis(5));
  }
  record.Write("consumers: " + std::to_string(kWaitingConsumers) + " send a charge on a kept connection");
  go = true;
  std::this_thread::sleep_for(Millis(200));
  record.Write("consumers: " + std::to_string(kUploads) + " upload " + std::to_string(uploadBytes) +
               " bytes each, with a charge");
  std::atomic<int> uploaded{ 0 };
  for (int i = 0; i < kUploads; ++i) {
    consumers.emplace_back([&, i] {
      const auto answer = Exchange(deployment.Outbound(0),
                                   ConsumerRequest("POST",
                                                   "/charge/upload-" + std::to_string(i),
                                                   "upload-" + std::to_string(i),
                                                   kTimeout,
                                                   std::string(uploadBytes, 'x')),
                                   kTimeout + Millis(500));
      uploaded += answer && answer->Status() == 200 ? 1 : 0;
    });
  }
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  stop = true;
  platform.join();

  int lost = 0;
  for (const Outcome& outcome : outcomes) {
    bool hasArrived = false;
    for (size_t node = 1; node < deployment.Nodes(); ++node) {
      const std::vector<Arrival> arrivals = deployment.InstanceAt(node).Arrivals();
      hasArrived = hasArrived || std::ranges::any_of(arrivals, [&](const Arrival& aArrival) {
                     return aArrival.id == outcome.id && aArrival.hasRun;
                   });
    }
    const bool isLost = hasArrived && !outcome.isAnswered;
    lost += isLost ? 1 : 0;
    record.Write(outcome.id + ": " + (hasArrived ? "run, " : "not run, ") +
                 (outcome.isAnswered ? "answered " + std::to_string(outcome.status)
                                     : "connection closed without an answer"));
  }
  for (size_t node = 0; node < deployment.Nodes(); ++node) {
    record.Write("node-" + std::to_string(node) + ": at most " + std::to_string(peaks[node] >> 20U) + " MiB");
  }
  record.Write("uploads answered 200: " + std::to_string(uploaded));
  return Conclude(record,
                  lost > kAllowedLosses,
                  std::to_string(lost) + " of " + std::to_string(kWaitingConsumers) +
                    " charges were passed on from kept connections and got no answer; " +
                    (isKilled ? "a node was killed for its memory" : "no node was killed"));
}
