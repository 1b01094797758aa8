#define BOOST_TEST_MODULE otherwriters
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::milliseconds kHeartbeat{ 300 };
static constexpr int kHeartbeats = 4;
/** Shorter than the silence after which a later target is believed without a question. */
static constexpr std::chrono::milliseconds kFirstCallLimit{ 1000 };
/** The target whose address others claim; it serves "/book/". */
static constexpr size_t kTarget = 1;
static const std::string kTenYearsAhead = "2113000000000";

/** A heartbeat of another writer for the address of a target. */
struct ForeignHeartbeat
{
  std::string id;
  std::string service;
  std::string born;
  std::string state = "ready";
};

static void
Send(PlatformMesh& aMesh, const ForeignHeartbeat& aHeartbeat)
{
  const std::string body =
    "{\"service\":\"" + aHeartbeat.service + "\",\"address\":\"" + aMesh.TargetAddress(kTarget).Text() +
    "\",\"zone\":\"north\",\"version\":\"v1\",\"capacity\":4,\"state\":\"" + aHeartbeat.state +
    "\",\"warmupLeft\":\"0ms\",\"seq\":1000,\"born\":" + aHeartbeat.born + "}";
  SendRawRequest(aMesh.targets[kTarget]->HeartbeatAddress(),
                 "POST /-/Instances.Heartbeat/" + aHeartbeat.id + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Guards against: one heartbeat of another writer takes a target out of use, though its own ones go on.
BOOST_AUTO_TEST_CASE(a_target_stays_in_use_whatever_other_writers_say_of_its_address)
{
  PlatformMesh mesh("otherwriters");
  BOOST_REQUIRE(mesh.Start());
  PlatformTarget& target = *mesh.targets[kTarget];
  const std::string own = "i-desk";
  const std::string service = "desk";
  int number = 0;
  for (const ForeignHeartbeat& heartbeat :
       { ForeignHeartbeat{ .id = "i-other", .service = "not-a-service", .born = kTenYearsAhead },
         ForeignHeartbeat{ .id = own, .service = "not-a-service", .born = "1000" },
         ForeignHeartbeat{
           .id = own, .service = "not-a-service", .born = kTenYearsAhead, .state = "draining" },
         ForeignHeartbeat{ .id = own, .service = service, .born = kTenYearsAhead },
         ForeignHeartbeat{ .id = own, .service = service, .born = kTenYearsAhead, .state = "draining" },
         ForeignHeartbeat{ .id = own, .service = "books", .born = "1000" },
         ForeignHeartbeat{ .id = "i-other", .service = service, .born = kTenYearsAhead },
         ForeignHeartbeat{ .id = "i-other", .service = service, .born = kTenYearsAhead, .state = "draining" },
         ForeignHeartbeat{ .id = "i-other", .service = "books", .born = kTenYearsAhead },
         ForeignHeartbeat{ .id = "i-other", .service = "", .born = kTenYearsAhead },
         ForeignHeartbeat{ .id = "i-other", .service = std::string(60000, 's'), .born = kTenYearsAhead },
         ForeignHeartbeat{ .id = std::string(12000, 'i'), .service = service, .born = kTenYearsAhead } }) {
    BOOST_TEST_CONTEXT(heartbeat.id.substr(0, 20) << " of " << heartbeat.service.substr(0, 20) << ", born "
                                                  << heartbeat.born << ", " << heartbeat.state)
    {
      Send(mesh, heartbeat);
      for (int beat = 0; beat < kHeartbeats; ++beat) {
        const std::string id = "call-" + std::to_string(++number);
        BOOST_TEST(mesh.Call(0, "/book/1", id).starts_with("HTTP/1.1 200"));
        std::this_thread::sleep_for(kHeartbeat);
        BOOST_TEST(target.SendHeartbeat("ready") == 200);
      }
    }
  }
}

// Guards against: a node takes the instance that follows another one at its address for another writer.
BOOST_AUTO_TEST_CASE(a_target_of_another_service_gets_calls_soon_after_its_first_heartbeat)
{
  PlatformMesh mesh("addressreused");
  BOOST_REQUIRE(mesh.Start());
  mesh.targets[kTarget]->StopServing();
  PlatformTarget next({ .id = "i-next",
                        .service = "books",
                        .address = mesh.TargetAddress(kTarget),
                        .heartbeatAddress = mesh.targets[kTarget]->HeartbeatAddress() });
  next.BeginIncarnation();
  BOOST_TEST(next.SendHeartbeat("ready") == 200);
  int number = 0;
  BOOST_TEST(WaitUntil(kFirstCallLimit, [&] {
    mesh.Call(0, "/read/1", "next-" + std::to_string(++number));
    return !next.RunCounts().empty();
  }));
}
