// Case 12: after three crashes of instances, a request that many consumers send is refused everywhere.

#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <thread>

using namespace review;

static constexpr int kTariffReaders = 30;
static constexpr int kCharging = 10;
static constexpr int kCrashes = 3;
static constexpr Millis kTimeout{ 1500 };
/** From the crash of an instance to its next start. */
static constexpr Millis kDownTime{ 1500 };
static constexpr Millis kBetweenCrashes{ 4000 };
/** After the last crash; longer than stableWindow. */
static constexpr Millis kCalm{ 6000 };
static constexpr Millis kMeasured{ 6000 };
/** Requests on added routes in steady state from which the rule applies. */
static constexpr int kLeastRequests = 20;

/** Requests on one route, in the time that is measured. */
struct Counts
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
};

/** Returns the node whose instance has got more requests in the last second. */
static size_t
BusierNode(Deployment& aDeployment)
{
  size_t busier = 0;
  long most = -1;
  for (size_t node = 1; node < aDeployment.Nodes(); ++node) {
    const std::vector<Arrival> arrivals = aDeployment.InstanceAt(node).Arrivals();
    const Time since = Clock::now() - Millis(1000);
    const long recent =
      std::ranges::count_if(arrivals, [&](const Arrival& aArrival) { return aArrival.at > since; });
    if (recent > most) {
      most = recent;
      busier = node;
    }
  }
  return busier;
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
  std::atomic<bool> isMeasured{ false };
  std::atomic<int> number{ 0 };
  Counts charges;
  Counts tariffs;
  const auto consume = [&](bool aReadsTariff) {
    while (!stop) {
      const bool counts = isMeasured;
      const std::string id = "q" + std::to_string(++number);
      // All consumers read the same list; each charge is another one.
      const std::string request = aReadsTariff
                                    ? ConsumerRequest("GET", "/tariff/list", id, kTimeout)
                                    : ConsumerRequest("POST", "/charge/" + id, id, kTimeout, "amount=12");
      const auto answer = Exchange(deployment.Outbound(0), request, kTimeout + Millis(500));
      const bool isServed = answer && answer->Status() == 200;
      Counts& counted = aReadsTariff ? tariffs : charges;
      if (counts) {
        ++counted.sent;
        counted.served += isServed ? 1 : 0;
        record.Write(id + (aReadsTariff ? " tariff list: " : " charge: ") +
                     (answer ? answer->start + (isServed ? "" : " " + answer->body) : "no answer"));
      }
      // Consumers pause for different times, so that they don't send in step.
      std::this_thread::sleep_for(Millis(50 + 37 * (number % 11)));
    }
  };
  std::vector<std::thread> consumers;
  for (int i = 0; i < kTariffReaders + kCharging; ++i) {
    consumers.emplace_back(consume, i < kTariffReaders);
  }
  std::this_thread::sleep_for(Millis(2000));
  for (int crash = 0; crash < kCrashes && HasTrouble(); ++crash) {
    const size_t node = BusierNode(deployment);
    deployment.CrashInstance(node);
    std::this_thread::sleep_for(kDownTime);
    deployment.StartInstance(node);
    deployment.InstanceAt(node).StartPings();
    std::this_thread::sleep_for(kBetweenCrashes);
  }
  std::this_thread::sleep_for(kCalm);
  record.Write("all instances have run for " + std::to_string((kCalm + kBetweenCrashes).count()) + " ms");
  isMeasured = true;
  std::this_thread::sleep_for(kMeasured);
  stop = true;
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  if (tariffs.sent < kLeastRequests || charges.sent < kLeastRequests) {
    return 2;
  }
  const double shareOfCharges = static_cast<double>(charges.served) / charges.sent;
  const double shareOfTariffs = static_cast<double>(tariffs.served) / tariffs.sent;
  return Conclude(record,
                  shareOfTariffs < shareOfCharges / 4,
                  std::to_string(tariffs.served) + " of " + std::to_string(tariffs.sent) +
                    " requests on the added route were served, " + std::to_string(charges.served) + " of " +
                    std::to_string(charges.sent) + " on the first route");
}
