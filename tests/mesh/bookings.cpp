#define BOOST_TEST_MODULE bookings
#include "harness/bookings.h"
#include "harness/running.h"

#include <atomic>
#include <thread>

using namespace mimosarun;

static constexpr uint64_t kSeed = 20261204;
static constexpr int kTries = 1000;

BOOST_AUTO_TEST_CASE(a_repeated_key_gets_the_first_answer_through_any_entry)
{
  RunningMesh mesh(SmallMesh("repeat"));
  const std::vector<std::string> nodes = mesh.Nodes();
  const TestResponse first = Book(mesh, nodes.front(), "key-1");
  BOOST_TEST(first.status == 200);
  for (const std::string& node : nodes) {
    const TestResponse again = Book(mesh, node, "key-1");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == first.body);
  }
  BOOST_TEST(RunsByKey(mesh)["key-1"] == 1);
}

BOOST_AUTO_TEST_CASE(a_booking_that_cant_be_claimed_is_truly_not_run)
{
  RunningMesh mesh(SmallMesh("unclaimed"));
  // The home region is east; west can't claim while it is cut off.
  mesh.SetRegionFault("east", "west", { .dropAll = true });
  for (const std::string& node : mesh.Nodes("west-1")) {
    const TestResponse answer = Book(mesh, node, "cut-" + node);
    BOOST_TEST(answer.status >= 500);
    BOOST_TEST(answer.outcome == "not-run", answer.body);
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

BOOST_AUTO_TEST_CASE(bookings_run_at_most_once_while_everything_dies)
{
  RunningMesh mesh(SmallMesh("atmostonce"));
  std::atomic<bool> stop{ false };
  std::thread faults([&] { InjectRandomFaults(mesh, stop, kSeed); });
  const std::vector<Booking> bookings = BookMany(mesh, "booking-", kTries, kSeed);
  stop = true;
  faults.join();
  const BookingSummary verdict = CheckBookings(mesh, bookings);
  BOOST_TEST_MESSAGE(verdict.complete << " of " << verdict.bookings << " complete");
  BOOST_TEST(verdict.ranTwice == 0);
  BOOST_TEST(verdict.falseNotRun == 0);
  BOOST_TEST(verdict.lost == 0);
  BOOST_TEST(verdict.complete > kTries / 2);
}
