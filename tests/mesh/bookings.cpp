#define BOOST_TEST_MODULE bookings
#include "harness/bookings.h"
#include "harness/running.h"

#include <atomic>
#include <thread>

using namespace mimosarun;

static constexpr uint64_t kSeed = 20261204;
static constexpr int kBookings = 1000;

BOOST_AUTO_TEST_CASE(a_repeated_key_gets_the_first_response_through_any_entry)
{
  RunningMesh mesh(SmallMesh("repeat"));
  const std::vector<std::string> nodes = mesh.Nodes();
  const TestResponse firstResponse = Book(mesh, nodes.front(), "key-1");
  BOOST_TEST(firstResponse.status == 200);
  for (const std::string& node : nodes) {
    const TestResponse repeated = Book(mesh, node, "key-1");
    BOOST_TEST(repeated.status == 200);
    BOOST_TEST(repeated.body == firstResponse.body);
  }
  BOOST_TEST(RunsByKey(mesh)["key-1"] == 1);
}

BOOST_AUTO_TEST_CASE(a_booking_whose_key_cant_be_claimed_is_reported_as_not_run_and_never_runs)
{
  RunningMesh mesh(SmallMesh("unclaimed"));
  // The home region is east, so the west can't claim keys while it is cut off.
  mesh.SetRegionFault("east", "west", { .dropAll = true });
  for (const std::string& node : mesh.Nodes("west-1")) {
    const TestResponse response = Book(mesh, node, "cut-" + node);
    BOOST_TEST(response.status >= 500);
    BOOST_TEST(response.outcome == "not-run", response.body);
    BOOST_TEST(RunsByKey(mesh)["cut-" + node] == 0);
  }
  for (const std::string& node : mesh.Nodes("east-1")) {
    BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return Book(mesh, node, "home-" + node).status == 200; }));
  }
  mesh.SetRegionFault("east", "west", {});
  for (const std::string& node : mesh.Nodes("west-1")) {
    BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return Book(mesh, node, "healed-" + node).status == 200; }));
  }
}

BOOST_AUTO_TEST_CASE(bookings_run_at_most_once_during_random_faults)
{
  RunningMesh mesh(SmallMesh("atmostonce"));
  std::atomic<bool> isStopped{ false };
  std::thread faultThread([&] { InjectRandomFaults(mesh, isStopped, kSeed); });
  const std::vector<Booking> bookings = BookMany(mesh, "booking-", kBookings, kSeed);
  isStopped = true;
  faultThread.join();
  const BookingSummary verdict = CheckBookings(mesh, bookings);
  BOOST_TEST_MESSAGE(verdict.complete << " of " << verdict.bookings << " complete");
  BOOST_TEST(verdict.ranTwice == 0);
  BOOST_TEST(verdict.falseNotRun == 0);
  BOOST_TEST(verdict.lost == 0);
  BOOST_TEST(verdict.complete > kBookings / 2);
}
