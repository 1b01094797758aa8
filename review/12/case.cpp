// Case 12: after three crashes of instances, a request that many consumers send is refused everywhere.

#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <thread>

using namespace review;

static constexpr int kTariffReaders = 30;
static constexpr int kCharging = 30;
static constexpr int kCrashes = 3;
static constexpr Millis kTimeout{ 1500 };
/** From the crash of an instance to its next start. */
static constexpr Millis kDownTime{ 1000 };
static constexpr Millis kBetweenCrashes{ 1500 };
/** From the last start to the time that is steady; well beyond stableWindow. */
static constexpr Millis kCalm{ 8500 };
static constexpr Millis kSteady{ 70000 };
/** Refusals of each kind that are written one by one. */
static constexpr int kWrittenRefusals = 100;
/** Requests on added routes in steady state from which the rule applies. */
static constexpr int kLeastRequests = 20;

/** Requests on one route. */
struct Counts
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> sentInSteadyState{ 0 };
  std::atomic<int> servedInSteadyState{ 0 };
};

static double
Share(int aServed, int aSent)
{
  return static_cast<double>(aServed) / std::max(1, aSent);
}

static const std::string kList = "/tariff/list";

/** Waits until an instance runs two reads of the list, as it does most of the time; returns its node. */
static size_t
NodeThatReadsList(Deployment& aDeployment)
{
  while (true) {
    for (size_t node = 1; node < aDeployment.Nodes(); ++node) {
      if (aDeployment.InstanceAt(node).RunningOf(kList) >= 2) {
        return node;
      }
    }
    std::this_thread::sleep_for(Millis(5));
  }
}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment({ .services = { "banco", "cassa", "cassa", "cassa", "cassa" }, .work = Millis(200) },
                        record);
  const std::vector<std::string> services{ "banco", "cassa" };
  std::vector<RouteText> routes{ { "charges", "/charge/", "unsafe", "cassa" } };
  if (!deployment.Start(MakeConfiguration(1, services, routes))) {
    return 2;
  }
  routes.push_back({ "tariffs", "/tariff/", "safe", "cassa" });
  if (deployment.Replace("r1", MakeConfiguration(2, services, routes)) != 200) {
    return 2;
  }
  std::this_thread::sleep_for(Millis(3000));

  std::atomic<bool> stop{ false };
  std::atomic<bool> isSteady{ false };
  std::atomic<int> number{ 0 };
  Counts charges;
  Counts tariffs;
  const auto consume = [&](bool aReadsTariff) {
    while (!stop) {
      const bool wasSteady = isSteady;
      const std::string id = "q" + std::to_string(++number);
      // All consumers read the same list; each charge is another one.
      const std::string request = aReadsTariff
                                    ? ConsumerRequest("GET", kList, id, kTimeout)
                                    : ConsumerRequest("POST", "/charge/" + id, id, kTimeout, "amount=12");
      const auto answer = Exchange(deployment.Outbound(0), request, kTimeout + Millis(500));
      const bool isServed = answer && answer->Status() == 200;
      Counts& counted = aReadsTariff ? tariffs : charges;
      ++counted.sent;
      counted.served += isServed ? 1 : 0;
      counted.sentInSteadyState += wasSteady ? 1 : 0;
      counted.servedInSteadyState += wasSteady && isServed ? 1 : 0;
      // Of the refusals the first ones are written, and one of each hundred.
      if (!isServed && (counted.sent - counted.served <= kWrittenRefusals || counted.sent % 100 == 0)) {
        record.Write(id + (aReadsTariff ? " tariff list: " : " charge: ") +
                     (answer ? answer->start + " " + answer->body : "no answer"));
      }
      // Consumers pause for different times, so that they don't send in step.
      std::this_thread::sleep_for(Millis(50 + 37 * (number % 11)));
    }
  };
  std::vector<std::thread> consumers;
  for (int i = 0; i < kTariffReaders + kCharging; ++i) {
    consumers.emplace_back(consume, i < kTariffReaders);
  }
  std::this_thread::sleep_for(Millis(1000));
  for (int crash = 0; crash < kCrashes && HasTrouble(); ++crash) {
    const size_t node = NodeThatReadsList(deployment);
    deployment.CrashInstance(node);
    std::this_thread::sleep_for(kDownTime);
    deployment.StartInstance(node);
    deployment.InstanceAt(node).StartPings();
    std::this_thread::sleep_for(kBetweenCrashes);
  }
  std::this_thread::sleep_for(kCalm);
  record.Write("all instances have run for " + std::to_string((kCalm + kBetweenCrashes).count()) + " ms");
  isSteady = true;
  std::this_thread::sleep_for(kSteady);
  stop = true;
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  if (tariffs.sentInSteadyState < kLeastRequests || charges.sentInSteadyState < kLeastRequests) {
    return 2;
  }
  const double shareOfTariffs = Share(tariffs.served, tariffs.sent);
  const double shareOfAll = Share(tariffs.served + charges.served, tariffs.sent + charges.sent);
  const double steadyTariffs = Share(tariffs.servedInSteadyState, tariffs.sentInSteadyState);
  const double steadyCharges = Share(charges.servedInSteadyState, charges.sentInSteadyState);
  record.Write("CONFIG: in steady state " + std::to_string(tariffs.servedInSteadyState) + " of " +
               std::to_string(tariffs.sentInSteadyState) + " on the added route, " +
               std::to_string(charges.servedInSteadyState) + " of " +
               std::to_string(charges.sentInSteadyState) + " on the first one; " +
               (steadyTariffs < steadyCharges / 4 ? "broken" : "held"));
  return Conclude(record,
                  shareOfTariffs < shareOfAll / 4,
                  "of all reads of the list " + std::to_string(tariffs.served) + " of " +
                    std::to_string(tariffs.sent) + " were served, of all requests " +
                    std::to_string(tariffs.served + charges.served) + " of " +
                    std::to_string(tariffs.sent + charges.sent));
}
