#define BOOST_TEST_MODULE balancer
#include "caller/balancer.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr DistanceCosts kPaidBytes{ .region = milliseconds(3),
                                           .otherRegion = milliseconds(40),
                                           .regionSharePerKilobyte = 0.15,
                                           .otherRegionSharePerKilobyte = 0.35,
                                           .onTimeShare = 0.5 };

static GateInfo
Gate(const std::string& aNode, Locality aLocality)
{
  return { .node = aNode, .target = "t-" + aNode, .address = {}, .locality = aLocality, .slots = 6 };
}

static const std::vector<GateInfo> kGates{ Gate("near", Locality::FailureDomain),
                                           Gate("middle", Locality::Region),
                                           Gate("far", Locality::OtherRegion) };

static const CallRequirements kWish{ .costGroup = "r",
                                     .latencyObjective = milliseconds(800),
                                     .timeToObjective = milliseconds(800) };

static void
Teach(Balancer& aBalancer, const std::string& aNode, milliseconds aTime, int aCalls = 20)
{
  for (int call = 0; call < aCalls; ++call) {
    const Deadline now = SteadyClock::now();
    aBalancer.RecordSent(aNode, CallClass::Short, now - aTime);
    aBalancer.RecordResult({ .node = aNode, .costGroup = "r", .sentAt = now - aTime }, now);
  }
}

BOOST_AUTO_TEST_CASE(a_slower_gate_nearby_is_used_while_the_objective_is_safe)
{
  Balancer balancer({ .distance = kPaidBytes });
  Teach(balancer, "near", milliseconds(300));
  Teach(balancer, "middle", milliseconds(150));
  Teach(balancer, "far", milliseconds(150));
  BOOST_TEST(balancer.Choose(kGates, {}, kWish)->gate.node == "near");
}

BOOST_AUTO_TEST_CASE(
  a_gate_nearby_that_would_miss_the_objective_is_left_for_the_region_and_then_for_the_other)
{
  Balancer balancer({ .distance = kPaidBytes });
  Teach(balancer, "near", milliseconds(1500));
  Teach(balancer, "middle", milliseconds(200));
  Teach(balancer, "far", milliseconds(200));
  BOOST_TEST(balancer.Choose(kGates, {}, kWish)->gate.node == "middle");
  Teach(balancer, "middle", milliseconds(1500));
  BOOST_TEST(balancer.Choose(kGates, {}, kWish)->gate.node == "far");
}

BOOST_AUTO_TEST_CASE(a_call_waits_nearby_only_as_long_as_that_is_the_better_choice)
{
  Balancer balancer({ .distance = kPaidBytes });
  for (const GateInfo& gate : kGates) {
    Teach(balancer, gate.node, milliseconds(200));
  }
  const std::optional<GateChoice> choice = balancer.Choose(kGates, {}, kWish);
  BOOST_TEST(choice->gate.node == "near");
  // Comfort ends at 400 ms and the region costs 123 ms more.
  BOOST_TEST(choice->longestWait.count() > milliseconds(250) / std::chrono::microseconds(1));
  BOOST_TEST(choice->longestWait.count() < milliseconds(400) / std::chrono::microseconds(1));
}

BOOST_AUTO_TEST_CASE(a_gate_that_turned_the_call_back_counts_with_the_wait_that_it_named)
{
  Balancer balancer({ .distance = kPaidBytes });
  for (const GateInfo& gate : kGates) {
    Teach(balancer, gate.node, milliseconds(200));
  }
  TriedGates experience;
  experience.rejectionWaits["near"] = milliseconds(700);
  BOOST_TEST(balancer.Choose(kGates, experience, kWish)->gate.node == "middle");
  experience.rejectionWaits["middle"] = milliseconds(900);
  experience.rejectionWaits["far"] = milliseconds(2000);
  BOOST_TEST(balancer.Choose(kGates, experience, kWish)->gate.node == "near");
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_calls_is_avoided_while_another_is_well)
{
  Balancer balancer({ .distance = kPaidBytes });
  for (const GateInfo& gate : kGates) {
    Teach(balancer, gate.node, milliseconds(200));
  }
  balancer.RecordLoad("near", { .slots = 6, .failurePenalty = milliseconds(800) });
  BOOST_TEST(balancer.Choose(kGates, {}, kWish)->gate.node == "middle");
}

BOOST_AUTO_TEST_CASE(a_gate_that_is_new_to_the_entry_is_taken_to_be_like_the_others)
{
  Balancer balancer({ .distance = kPaidBytes });
  Teach(balancer, "middle", milliseconds(200));
  Teach(balancer, "far", milliseconds(200));
  BOOST_TEST(balancer.Choose(kGates, {}, kWish)->gate.node == "near");
}

BOOST_AUTO_TEST_CASE(excluded_gates_are_not_chosen)
{
  Balancer balancer({ .distance = kPaidBytes });
  TriedGates experience;
  experience.excluded = { "near", "middle", "far" };
  BOOST_TEST(!balancer.Choose(kGates, experience, kWish).has_value());
}

static std::vector<GateInfo>
ManyGates(int aCount)
{
  std::vector<GateInfo> gates;
  for (int number = 0; number < aCount; ++number) {
    gates.push_back(Gate("g" + std::to_string(number), Locality::FailureDomain));
  }
  return gates;
}

BOOST_AUTO_TEST_CASE(a_fault_that_the_gates_heard_from_share_is_expected_of_the_others_and_tolerated)
{
  Balancer balancer({ .distance = kPaidBytes });
  const std::vector<GateInfo> gates = ManyGates(18);
  for (int number = 0; number < 6; ++number) {
    balancer.RecordLoad(gates[static_cast<size_t>(number)].node,
                        { .slots = 6, .failurePenalty = milliseconds(800 + 10 * number) });
  }
  const std::optional<GateChoice> choice = balancer.Choose(gates, {}, kWish);
  BOOST_TEST(choice->maxFailurePenalty.count() >= milliseconds(700) / std::chrono::microseconds(1));
}

BOOST_AUTO_TEST_CASE(a_crest_that_the_gates_heard_from_share_lets_a_call_wait_where_it_comes_first)
{
  Balancer balancer({ .distance = kPaidBytes });
  const std::vector<GateInfo> gates = ManyGates(18);
  for (const GateInfo& gate : gates) {
    Teach(balancer, gate.node, milliseconds(200));
  }
  for (int number = 0; number < 6; ++number) {
    balancer.RecordLoad(gates[static_cast<size_t>(number)].node,
                        { .slotsInUse = 6, .slots = 6, .queueLength = 12, .queueWait = milliseconds(600) });
  }
  // Others would not serve it sooner, so asking one after the other only costs time and bytes.
  const std::optional<GateChoice> choice = balancer.Choose(gates, {}, kWish);
  BOOST_TEST(choice->longestWait.count() >= milliseconds(550) / std::chrono::microseconds(1));
}

BOOST_AUTO_TEST_CASE(a_gate_that_told_of_free_slots_goes_before_those_not_heard_from_under_a_crest)
{
  Balancer balancer({ .distance = kPaidBytes });
  const std::vector<GateInfo> gates = ManyGates(18);
  balancer.RecordLoad("g4",
                      { .slotsInUse = 6, .slots = 6, .queueLength = 12, .queueWait = milliseconds(900) });
  balancer.RecordLoad("g9", { .slotsInUse = 1, .slots = 6 });
  BOOST_TEST(balancer.Choose(gates, {}, kWish)->gate.node == "g9");
}
