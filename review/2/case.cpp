// An instance breaks off one answer whose head names a very large length. Meanwhile clients of the machine
// beside it wait for answers of other, sound instances.

#include "../lib/review.h"

using namespace review;

static constexpr int kClients = 8;
/** LOST allows this many. */
static constexpr int kAllowedLosses = 3;

/** What a client of the watched machine saw of its second request. */
struct Outcome
{
  std::string id;
  int status = 0;
  bool complete = false;
};

static int
Run(Record& aRecord)
{
  Deployment deployment;
  const std::vector<int> seeds{ 0, 1, 2 };
  std::map<int, Process> processes;
  for (int machine = 0; machine < 4; ++machine) {
    processes[machine] = deployment.StartCore(machine, seeds, true);
  }
  const std::map<int, std::string> services{
    { 4, "hours" }, { 5, "history" }, { 6, "callout" }, { 7, "callout" }
  };
  std::vector<Instance*> instances;
  for (const auto& [machine, service] : services) {
    processes[machine] = deployment.StartNode(machine, seeds, true, service);
    Instance::Options options{ .id = "i-" + service + std::to_string(machine),
                               .service = service,
                               .address = deployment.Instance(machine),
                               .control = deployment.Control(machine),
                               .capacity = 10,
                               .work = service == "callout" ? milliseconds(1200) : milliseconds(100) };
    if (machine == 4 && HasTrouble()) {
      options.spoil = [](const Message& aRequest, Connection& aConnection) {
        aConnection.Send(
          "HTTP/1.1 200 OK\r\nRequest-Id: " + Find(aRequest.headers, "Request-Id") +
          "\r\nResponse-Signature: signature\r\nContent-Length: 999999999999999999\r\n\r\ndone");
        return true;
      };
    }
    instances.push_back(new Instance(aRecord, options));
  }
  const std::string configuration = MakeConfiguration(
    3, { { "lamps", "hours" }, { "beds", "history" }, { "book", "callout", "unsafe", "4000ms" } });
  const bool started = Replace(aRecord, deployment, { 0, 1, 2, 3 }, 0, configuration, seconds(15)) == 200 &&
                       WaitUntil(seconds(15), [&] {
                         return IsReady(deployment, 4) && IsReady(deployment, 5) && IsReady(deployment, 6) &&
                                IsReady(deployment, 7);
                       });
  if (!started) {
    return kCouldNotRun;
  }
  // Longer than stableWindow, so that all machines are in touch.
  Sleep(seconds(5));
  std::vector<std::thread> clients;
  std::vector<Outcome> outcomes(kClients);
  std::atomic<int> warm{ 0 };
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Connection connection;
      const std::string first = "first-" + std::to_string(i);
      if (!connection.Open(deployment.Outbound(4), seconds(1)) ||
          !connection.Send(MakeClientRequest("POST", "/book/1", first, milliseconds(4000), "booking")) ||
          connection.Read(seconds(5)).Status() != 200) {
        return;
      }
      ++warm;
      Outcome& outcome = outcomes[static_cast<size_t>(i)];
      outcome.id = "second-" + std::to_string(i);
      aRecord.Line("client at sidecar-4: sends " + outcome.id + " on its kept connection");
      connection.Send(MakeClientRequest("POST", "/book/1", outcome.id, milliseconds(4000), "booking"));
      const Message answer = connection.Read(seconds(5));
      outcome.status = answer.Status();
      outcome.complete = answer.complete;
      aRecord.Line("client at sidecar-4: " + outcome.id + ": " +
                   (answer.complete ? std::to_string(answer.Status()) : "connection closed, no answer"));
    });
  }
  Sleep(milliseconds(1700));
  const Message lookup = Call(deployment.Outbound(5),
                              MakeClientRequest("GET", "/lamps/7", "lookup", milliseconds(2000)),
                              milliseconds(2500));
  aRecord.Line("client at sidecar-5: lookup: " + std::to_string(lookup.Status()));
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  for (const Outcome& outcome : outcomes) {
    bool ran = false;
    for (const Instance* instance : instances) {
      ran = ran || instance->Arrivals().contains(outcome.id);
    }
    lost += ran && !outcome.complete ? 1 : 0;
  }
  const bool ended = !processes[4].IsRunning();
  std::string last = deployment.OutputOf(4);
  last = last.size() < 200 ? last : last.substr(last.size() - 200);
  aRecord.Line("process of sidecar-4 " +
               std::string(ended ? "ended by itself; the end of its output: " + last : "runs"));
  aRecord.Line("requests on kept connections of sidecar-4 that ran and got no answer: " +
               std::to_string(lost));
  if (warm < kClients) {
    return kCouldNotRun;
  }
  const bool broken = lost > kAllowedLosses;
  aRecord.Line(broken ? "BROKEN: LOST" : "held");
  return broken ? kBroken : kHeld;
}

int
main(int /*aCount*/, char** aArguments)
{
  auto* record = new Record(std::string(aArguments[1]) + "/record.txt");
  End(Run(*record));
}
