// Case 14: an instance numbers its pings from 0; its first one comes late and cancels its departure.

#include "deployment.h"

#include <atomic>
#include <thread>

using namespace review;

static constexpr int kConsumers = 60;
static constexpr Millis kTimeout{ 4000 };
static constexpr Millis kDrain{ 2500 };
/** The instance reports that it leaves this long after its start. */
static constexpr Millis kLifetime{ 4000 };
/** Its first ping arrives this long after its departure was confirmed. */
static constexpr Millis kPingDelay{ 3000 };

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment({ .services = { "banco", "cassa", "cassa" }, .work = Millis(200), .lateInstance = 1 },
                        record);
  const std::string configuration = MakeConfiguration(
    1,
    { "banco", "cassa" },
    { { "tickets", "/ticket/", "safe", "banco" }, { "prices", "/price/", "safe", "cassa", "4000ms" } });
  if (!deployment.Start(configuration)) {
    return 2;
  }
  std::atomic<bool> stop{ false };
  std::atomic<int> requests{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> consumers;
  for (int i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&] {
      while (!stop) {
        const std::string id = "price-" + std::to_string(++requests);
        const auto answer = Exchange(deployment.Outbound(0),
                                     ConsumerRequest("GET", "/price/" + id, id, kTimeout),
                                     kTimeout + Millis(500));
        const bool isServed = answer && answer->Status() == 200;
        served += isServed ? 1 : 0;
        std::this_thread::sleep_for(isServed ? Millis(20) : Millis(100));
      }
    });
  }

  deployment.StartInstance(1, 0);
  Instance& leaver = deployment.InstanceAt(1);
  const std::string firstPing = leaver.MakePing("ready");
  record.Write("instance: starts and sends its first ping, seq 0" +
               std::string(HasTrouble() ? ", which is late" : ""));
  if (!HasTrouble()) {
    leaver.SendPing(firstPing);
  }
  leaver.StartPings();
  std::this_thread::sleep_for(kLifetime);
  leaver.StopPings();
  std::this_thread::sleep_for(Millis(200));
  const int confirmation = leaver.SendPing(leaver.MakePing("draining"));
  const Time confirmedAt = Clock::now();
  leaver.SetLeaving(true);
  leaver.SetHeader("Server-Leaving: 1");
  record.Write("instance: reports draining, " + std::to_string(confirmation));
  std::this_thread::sleep_for(kPingDelay);
  if (HasTrouble()) {
    record.Write("instance: the first ping arrives, " + std::to_string(leaver.SendPing(firstPing)));
  }
  std::this_thread::sleep_for(Millis(4000));
  stop = true;
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  if (confirmation != 200) {
    return 2;
  }

  int before = 0;
  int late = 0;
  for (const Arrival& arrival : leaver.Arrivals()) {
    before += arrival.at <= confirmedAt ? 1 : 0;
    if (arrival.at > confirmedAt + kDrain) {
      ++late;
      record.Write(arrival.id + " reaches the instance " +
                   std::to_string(std::chrono::duration_cast<Millis>(arrival.at - confirmedAt).count()) +
                   " ms after the confirmation");
    }
  }
  record.Write("consumers: " + std::to_string(served) + " of " + std::to_string(requests) +
               " requests served; " + std::to_string(before) + " reached the instance before it left");
  return Conclude(record,
                  late > 0,
                  std::to_string(late) +
                    " requests reached the instance over 2.5 s after its departure was confirmed");
}
