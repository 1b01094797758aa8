#define BOOST_TEST_MODULE largeorders
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace mimosarun;

/** Memory that the platform gives a process. */
static constexpr size_t kProcessMemoryBytes = 260UL * 1000 * 1000;
/** A document of this size is accepted if it keeps the other limits. */
static constexpr size_t kAcceptedBytes = 1900UL * 1000;
/** A document of this size is refused, and so was accepted before there was a limit for it. */
static constexpr size_t kRefusedBytes = 15UL * 1000 * 1000;
/** More than the documents whose texts a replica keeps. */
static constexpr int kChanges = 12;
/** Orders that may be in progress at once. */
static constexpr size_t kOrders = 8;

/** Returns a configuration with teams, and with a further member that no reader knows. */
static std::string
DocumentWith(int aVersion, const std::string& aNote)
{
  std::string document = PlatformMesh::Document(aVersion);
  document.pop_back();
  return document +
         ",\"tenants\":[{\"name\":\"till\",\"apiKeys\":[\"s3cret\"],\"priority\":1,\"ratePerS\":0,\"burst\":"
         "0}]"
         ",\"note\":" +
         aNote + "}";
}

/** Returns a string that can't be compressed much. */
static std::string
RandomNote(size_t aBytes)
{
  static std::mt19937_64 random(1);
  std::string text(aBytes, '"');
  for (size_t at = 1; at + 1 < aBytes; ++at) {
    text[at] = static_cast<char>('a' + random() % 26);
  }
  return text;
}

static std::string
WideNote(size_t aBytes)
{
  std::string text = "[0";
  while (text.size() < aBytes) {
    text += ",0";
  }
  return text + "]";
}

static bool
IsRefused(int aStatus)
{
  return aStatus >= 400 && aStatus < 500;
}

static size_t
HighestMemory(const PlatformMesh& aMesh)
{
  size_t highest = 0;
  for (const auto* processes : { &aMesh.replicas, &aMesh.nodes }) {
    for (const Process& process : *processes) {
      highest = std::max(highest, PeakMemoryBytes(process.Id()));
    }
  }
  return highest;
}

static void
CheckAllRun(PlatformMesh& aMesh)
{
  for (auto* processes : { &aMesh.replicas, &aMesh.nodes }) {
    for (Process& process : *processes) {
      BOOST_TEST(process.Running());
    }
  }
}

// Guards against: a deeply nested order is acknowledged and ends all control processes, again after each
// start.
BOOST_AUTO_TEST_CASE(a_deeply_nested_order_is_refused_and_the_next_one_is_acknowledged)
{
  PlatformMesh mesh("nestedorders");
  BOOST_REQUIRE(mesh.Start());
  constexpr size_t kLevels = 200000;
  const std::string lists = std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string objects;
  for (size_t level = 0; level < kLevels; ++level) {
    objects += "{\"a\":";
  }
  objects += "1" + std::string(kLevels, '}');
  for (const std::string& note : { lists, objects, std::string(kLevels, '[') }) {
    BOOST_TEST(IsRefused(mesh.ReplaceConfiguration("r3", DocumentWith(4, note))));
  }
  BOOST_TEST(mesh.ReplaceConfiguration("r3", DocumentWith(4, "[]")) == 200);
  CheckAllRun(mesh);
}

// Guards against: orders, good or bad, take more memory than a control process or a node has.
BOOST_AUTO_TEST_CASE(large_orders_cost_bounded_memory)
{
  PlatformMesh mesh("largeorders");
  BOOST_REQUIRE(mesh.Start());
  for (const std::string& note : { RandomNote(kRefusedBytes),
                                   WideNote(kRefusedBytes),
                                   std::string(kRefusedBytes, '['),
                                   WideNote(kAcceptedBytes),
                                   std::string(kAcceptedBytes, '[') }) {
    std::vector<std::thread> operators;
    for (size_t order = 0; order < kOrders; ++order) {
      operators.emplace_back([&, order] {
        const int status =
          mesh.ReplaceConfiguration("r3", DocumentWith(4, note), order % mesh.replicas.size());
        BOOST_TEST(IsRefused(status), "status " << status << " for " << note.size() << " bytes");
      });
    }
    for (std::thread& sender : operators) {
      sender.join();
    }
  }
  for (int change = 0; change < kChanges; ++change) {
    const std::string base = "r" + std::to_string(3 + change);
    const std::string document = DocumentWith(4 + change, RandomNote(kAcceptedBytes));
    BOOST_TEST(
      WaitUntil(std::chrono::seconds(10), [&] { return mesh.ReplaceConfiguration(base, document) == 200; }));
  }
  CheckAllRun(mesh);
  const size_t highest = HighestMemory(mesh);
  BOOST_TEST(highest < kProcessMemoryBytes);
  BOOST_TEST_MESSAGE("highest memory of a process: " << highest << " bytes");
  // A replica that starts reads all of it again.
  mesh.replicas[0].Kill();
  mesh.StartReplica(0);
  BOOST_TEST(WaitUntil(std::chrono::seconds(20), [&] {
    return mesh.ReadConfiguration().find("\"r" + std::to_string(3 + kChanges) + "\"") != std::string::npos;
  }));
  BOOST_TEST(HighestMemory(mesh) < kProcessMemoryBytes);
}
