#include "harness/bookings.h"

#include <thread>

namespace mimosarun {

static constexpr int kCallerThreads = 8;

TestResponse
Book(Mesh& aMesh, const std::string& aNode, const std::string& aKey)
{
  TestClient client;
  return Book(aMesh, client, aNode, aKey);
}

TestResponse
Book(Mesh& aMesh, TestClient& aClient, const std::string& aNode, const std::string& aKey)
{
  return aClient.Send(aMesh.ProcessOf(aNode).callerAddress,
                      { .method = "POST",
                        .path = "/" + aMesh.Options().services.front() + "/book?ms=5",
                        .token = aKey,
                        .key = aKey,
                        .body = "{}",
                        .timeout = std::chrono::milliseconds(1500) });
}

Booking
BookWithRetries(Mesh& aMesh, TestClient& aClient, const std::string& aKey, std::mt19937_64& aRandom)
{
  Booking booking{ .key = aKey };
  const std::vector<std::string> nodes = aMesh.Nodes();
  for (int attempt = 0; attempt < 4 && !booking.complete; ++attempt) {
    const TestResponse response = Book(aMesh, aClient, nodes[aRandom() % nodes.size()], aKey);
    booking.complete = response.transferComplete && response.status == 200 && response.outcome == "complete";
    booking.allNotRun = booking.allNotRun && response.transferComplete && response.outcome == "not-run";
  }
  return booking;
}

std::map<std::string, int>
RunsByKey(const Mesh& aMesh)
{
  std::map<std::string, int> runs;
  for (const std::string& line : aMesh.LedgerLines()) {
    if (line.find("/book ") == std::string::npos) {
      continue;
    }
    const size_t start = line.find(' ', line.find("/book")) + 1;
    ++runs[line.substr(start, line.find(' ', start) - start)];
  }
  return runs;
}

std::map<std::string, int>
RunsByPath(const Mesh& aMesh, const std::string& aPathPart)
{
  std::map<std::string, int> runs;
  for (const std::string& line : aMesh.LedgerLines()) {
    if (const size_t part = line.find(aPathPart); part != std::string::npos) {
      const size_t start = part + aPathPart.size();
      ++runs[line.substr(start, line.find(' ', start) - start)];
    }
  }
  return runs;
}

std::vector<Booking>
BookMany(Mesh& aMesh, const std::string& aPrefix, int aCount, uint64_t aSeed)
{
  std::vector<Booking> bookings(static_cast<size_t>(aCount));
  std::atomic<int> next{ 0 };
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallerThreads; ++caller) {
    callers.emplace_back([&, caller] {
      std::mt19937_64 random(aSeed + static_cast<uint64_t>(caller) + 1);
      TestClient client;
      for (int number = next++; number < aCount; number = next++) {
        bookings[static_cast<size_t>(number)] =
          BookWithRetries(aMesh, client, aPrefix + std::to_string(number), random);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return bookings;
}

BookingSummary
CheckBookings(const Mesh& aMesh, const std::vector<Booking>& aBookings)
{
  std::map<std::string, int> runs = RunsByKey(aMesh);
  BookingSummary summary;
  for (const Booking& booking : aBookings) {
    const int count = runs[booking.key];
    ++summary.bookings;
    summary.complete += booking.complete ? 1 : 0;
    summary.ranTwice += count > 1 ? 1 : 0;
    summary.falseNotRun += booking.allNotRun && count > 0 ? 1 : 0;
    summary.lost += booking.complete && count == 0 ? 1 : 0;
  }
  return summary;
}

void
InjectRandomFault(Mesh& aMesh, std::mt19937_64& aRandom)
{
  const uint64_t choice = aRandom() % 10;
  if (choice < 5) {
    const std::vector<std::string> nodes = aMesh.Nodes();
    const std::string node = nodes[aRandom() % nodes.size()];
    aMesh.ProcessOf(node).process.Kill();
    aMesh.StartProcess(node);
  } else if (choice < 8) {
    const std::vector<std::string> targets = aMesh.Targets();
    const std::string target = targets[aRandom() % targets.size()];
    aMesh.TargetOf(target).process.Kill();
    aMesh.StartTarget(target);
  } else if (choice < 9) {
    const std::vector<std::string> replicas = aMesh.Replicas();
    const std::string replica = replicas[aRandom() % replicas.size()];
    aMesh.ProcessOf(replica).process.Kill();
    aMesh.StartProcess(replica);
  } else {
    const std::vector<std::string>& left = aMesh.Options().regions.begin()->second;
    const std::vector<std::string>& right = aMesh.Options().regions.rbegin()->second;
    aMesh.Proxy().ResetOpenConnections(left.front(), right.front());
    aMesh.Proxy().DropBytesOfOpenConnections(right.front(), left.front());
  }
}

void
InjectRandomFaults(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (!aStop) {
    InjectRandomFault(aMesh, random);
    std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 300));
  }
}

} // namespace mimosarun
