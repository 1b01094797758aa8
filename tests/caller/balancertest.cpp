#define BOOST_TEST_MODULE balancer
#include "caller/balancer.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr DistanceCosts kTrafficCosts{ .region = milliseconds(3),
                                              .otherRegion = milliseconds(40),
                                              .regionSharePerKilobyte = 0.15,
                                              .otherRegionSharePerKilobyte = 0.35,
                                              .onTimeShare = 0.5 };

static GateInfo
MakeGate(const std::string& aNode, Locality aLocality)
{
  return { .node = aNode, .target = "t-" + aNode, .address = {}, .locality = aLocality, .slots = 6 };
}

static const std::vector<GateInfo> kGates{ MakeGate("near", Locality::FailureDomain),
                                           MakeGate("middle", Locality::Region),
                                           MakeGate("far", Locality::OtherRegion) };

static const CallRequirements kRequirements{ .costGroup = "r",
                                             .latencyObjective = milliseconds(800),
                                             .timeToObjective = milliseconds(800) };

static void
RecordCalls(Balancer& aBalancer, const std::string& aNode, milliseconds aTime, int aCount = 20)
{
  for (int call = 0; call < aCount; ++call) {
    const Deadline now = SteadyClock::now();
    aBalancer.RecordSent(aNode, CallClass::Short, now - aTime);
    aBalancer.RecordResult({ .node = aNode, .costGroup = "r", .sentAt = now - aTime }, now);
  }
}

BOOST_AUTO_TEST_CASE(a_slower_nearby_gate_is_chosen_while_the_objective_is_met)
{
  Balancer balancer({ .distance = kTrafficCosts });
  RecordCalls(balancer, "near", milliseconds(300));
  RecordCalls(balancer, "middle", milliseconds(150));
  RecordCalls(balancer, "far", milliseconds(150));
  BOOST_TEST(balancer.Choose(kGates, {}, kRequirements, SteadyClock::now())->gate.node == "near");
}

BOOST_AUTO_TEST_CASE(
  a_nearby_gate_that_would_miss_the_objective_loses_to_the_region_and_then_to_the_other_region)
{
  Balancer balancer({ .distance = kTrafficCosts });
  RecordCalls(balancer, "near", milliseconds(1500));
  RecordCalls(balancer, "middle", milliseconds(200));
  RecordCalls(balancer, "far", milliseconds(200));
  BOOST_TEST(balancer.Choose(kGates, {}, kRequirements, SteadyClock::now())->gate.node == "middle");
  RecordCalls(balancer, "middle", milliseconds(1500));
  BOOST_TEST(balancer.Choose(kGates, {}, kRequirements, SteadyClock::now())->gate.node == "far");
}

BOOST_AUTO_TEST_CASE(a_call_waits_at_a_nearby_gate_only_while_that_is_the_better_choice)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  const std::optional<GateChoice> choice = balancer.Choose(kGates, {}, kRequirements, SteadyClock::now());
  BOOST_TEST(choice->gate.node == "near");
  // Responses are on time until 400 ms, and the gate in the same region costs 123 ms more.
  BOOST_TEST(choice->longestWait.count() > milliseconds(250) / std::chrono::microseconds(1));
  BOOST_TEST(choice->longestWait.count() < milliseconds(400) / std::chrono::microseconds(1));
}

// Guards against: a call is refused although only the gates nearby are full (docs/incidents/005).
BOOST_AUTO_TEST_CASE(a_call_that_cannot_wait_where_it_was_rejected_goes_to_a_gate_that_has_not_seen_it)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  TriedGates triedGates;
  triedGates.rejectionWaits["near"] = milliseconds(500);
  CallRequirements requirements = kRequirements;
  requirements.kilobytes = 5;
  // By cost alone, waiting nearby is better than the bytes of the call between failure domains.
  BOOST_TEST(balancer.Choose(kGates, triedGates, requirements, SteadyClock::now())->gate.node == "near");
  requirements.longestWait = milliseconds(450);
  BOOST_TEST(balancer.Choose(kGates, triedGates, requirements, SteadyClock::now())->gate.node == "middle");
  triedGates.rejectionWaits["middle"] = milliseconds(500);
  BOOST_TEST(balancer.Choose(kGates, triedGates, requirements, SteadyClock::now())->gate.node == "far");
  triedGates.rejectionWaits["far"] = milliseconds(500);
  BOOST_TEST(!balancer.Choose(kGates, triedGates, requirements, SteadyClock::now()));
}

// Guards against: all attempts of a call end in one full failure domain (docs/incidents/005).
BOOST_AUTO_TEST_CASE(a_full_failure_domain_does_not_make_the_other_ones_look_full)
{
  Balancer balancer({ .distance = kTrafficCosts });
  std::vector<GateInfo> gates = kGates;
  TriedGates triedGates;
  for (int index = 0; index < 4; ++index) {
    gates.push_back(MakeGate("near-" + std::to_string(index), Locality::FailureDomain));
  }
  for (const GateInfo& gate : gates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  CallRequirements requirements = kRequirements;
  requirements.longestWait = milliseconds(300);
  triedGates.rejectionWaits["near"] = milliseconds(900);
  triedGates.rejectionWaits["near-0"] = milliseconds(900);
  balancer.RecordLoad("near-1", { .slots = 6, .queueWait = milliseconds(900) }, SteadyClock::now());
  balancer.RecordLoad("near-2", { .slots = 6, .queueWait = milliseconds(900) }, SteadyClock::now());
  // Nothing is known of the load of near-3, but the other gates nearby are full.
  BOOST_TEST(balancer.Choose(gates, triedGates, requirements, SteadyClock::now())->gate.node == "middle");
}

// Guards against: a fault of all targets makes every gate reject the call (docs/incidents/005).
BOOST_AUTO_TEST_CASE(only_one_gate_rejects_a_call_because_its_target_fails_calls)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
    balancer.RecordLoad(gate.node, { .slots = 6, .failurePenalty = milliseconds(600) }, SteadyClock::now());
  }
  TriedGates triedGates;
  const GateChoice first = *balancer.Choose(kGates, triedGates, kRequirements, SteadyClock::now());
  BOOST_TEST((first.maxFailurePenalty < milliseconds(1500)));
  triedGates.RecordRejection({ .node = first.gate.node,
                               .failurePenalty = milliseconds(1500),
                               .maxFailurePenalty = first.maxFailurePenalty });
  const GateChoice second = *balancer.Choose(kGates, triedGates, kRequirements, SteadyClock::now());
  BOOST_TEST((second.maxFailurePenalty == std::chrono::microseconds::max()));
}

BOOST_AUTO_TEST_CASE(a_gate_that_rejected_the_call_has_the_queue_wait_that_it_reported)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  TriedGates triedGates;
  triedGates.rejectionWaits["near"] = milliseconds(700);
  BOOST_TEST(balancer.Choose(kGates, triedGates, kRequirements, SteadyClock::now())->gate.node == "middle");
  triedGates.rejectionWaits["middle"] = milliseconds(900);
  triedGates.rejectionWaits["far"] = milliseconds(2000);
  BOOST_TEST(balancer.Choose(kGates, triedGates, kRequirements, SteadyClock::now())->gate.node == "near");
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_calls_is_avoided_while_another_is_healthy)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  balancer.RecordLoad("near", { .slots = 6, .failurePenalty = milliseconds(800) }, SteadyClock::now());
  BOOST_TEST(balancer.Choose(kGates, {}, kRequirements, SteadyClock::now())->gate.node == "middle");
}

BOOST_AUTO_TEST_CASE(a_gate_without_statistics_is_assumed_to_be_like_the_others)
{
  Balancer balancer({ .distance = kTrafficCosts });
  RecordCalls(balancer, "middle", milliseconds(200));
  RecordCalls(balancer, "far", milliseconds(200));
  BOOST_TEST(balancer.Choose(kGates, {}, kRequirements, SteadyClock::now())->gate.node == "near");
}

// Guards against: a gate that leaves and rejects calls at once looks idle and is chosen, until the directory
// shows that it leaves (docs/incidents/017).
BOOST_AUTO_TEST_CASE(a_gate_that_leaves_is_not_chosen_until_it_has_another_incarnation)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  BOOST_TEST(balancer.RecordLeaving("near", kGates.front().incarnation));
  BOOST_TEST(!balancer.RecordLeaving("near", kGates.front().incarnation));
  BOOST_TEST(balancer.Choose(kGates, {}, kRequirements, SteadyClock::now())->gate.node == "middle");
  BOOST_TEST(balancer.Explain(kGates, kRequirements, SteadyClock::now()).size() == 2u);
  std::vector<GateInfo> restarted = kGates;
  ++restarted.front().incarnation;
  BOOST_TEST(balancer.Choose(restarted, {}, kRequirements, SteadyClock::now())->gate.node == "near");
}

BOOST_AUTO_TEST_CASE(excluded_gates_are_not_chosen)
{
  Balancer balancer({ .distance = kTrafficCosts });
  TriedGates triedGates;
  triedGates.excluded = { "near", "middle", "far" };
  BOOST_TEST(!balancer.Choose(kGates, triedGates, kRequirements, SteadyClock::now()).has_value());
}

static std::vector<GateInfo>
MakeGates(int aCount)
{
  std::vector<GateInfo> gates;
  for (int number = 0; number < aCount; ++number) {
    gates.push_back(MakeGate("g" + std::to_string(number), Locality::FailureDomain));
  }
  return gates;
}

BOOST_AUTO_TEST_CASE(a_failure_penalty_of_all_known_gates_is_assumed_for_the_others_and_allowed)
{
  Balancer balancer({ .distance = kTrafficCosts });
  const std::vector<GateInfo> gates = MakeGates(18);
  for (int number = 0; number < 6; ++number) {
    balancer.RecordLoad(gates[static_cast<size_t>(number)].node,
                        { .slots = 6, .failurePenalty = milliseconds(800 + 10 * number) },
                        SteadyClock::now());
  }
  const std::optional<GateChoice> choice = balancer.Choose(gates, {}, kRequirements, SteadyClock::now());
  BOOST_TEST(choice->maxFailurePenalty.count() >= milliseconds(700) / std::chrono::microseconds(1));
}

BOOST_AUTO_TEST_CASE(an_overload_of_all_known_gates_lets_a_call_wait_at_its_first_gate)
{
  Balancer balancer({ .distance = kTrafficCosts });
  const std::vector<GateInfo> gates = MakeGates(18);
  for (const GateInfo& gate : gates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
  }
  for (int number = 0; number < 6; ++number) {
    balancer.RecordLoad(gates[static_cast<size_t>(number)].node,
                        { .slotsInUse = 6, .slots = 6, .queueLength = 12, .queueWait = milliseconds(600) },
                        SteadyClock::now());
  }
  // The other gates wouldn't serve the call sooner, so trying them one by one only costs time and traffic.
  const std::optional<GateChoice> choice = balancer.Choose(gates, {}, kRequirements, SteadyClock::now());
  BOOST_TEST(choice->longestWait.count() >= milliseconds(550) / std::chrono::microseconds(1));
}

BOOST_AUTO_TEST_CASE(a_gate_that_reported_free_slots_is_preferred_to_unknown_gates_under_overload)
{
  Balancer balancer({ .distance = kTrafficCosts });
  const std::vector<GateInfo> gates = MakeGates(18);
  balancer.RecordLoad("g4",
                      { .slotsInUse = 6, .slots = 6, .queueLength = 12, .queueWait = milliseconds(900) },
                      SteadyClock::now());
  balancer.RecordLoad("g9", { .slotsInUse = 1, .slots = 6 }, SteadyClock::now());
  BOOST_TEST(balancer.Choose(gates, {}, kRequirements, SteadyClock::now())->gate.node == "g9");
}

BOOST_AUTO_TEST_CASE(a_download_leaves_an_overloaded_failure_domain_but_not_one_that_is_in_time)
{
  CallRequirements download = kRequirements;
  download.kilobytes = 90;
  Balancer balancer({ .distance = kTrafficCosts });
  RecordCalls(balancer, "near", milliseconds(600));
  RecordCalls(balancer, "middle", milliseconds(200));
  RecordCalls(balancer, "far", milliseconds(200));
  BOOST_TEST(balancer.Choose(kGates, {}, download, SteadyClock::now())->gate.node == "near");
  RecordCalls(balancer, "near", milliseconds(2500), 60);
  BOOST_TEST(balancer.Choose(kGates, {}, download, SteadyClock::now())->gate.node == "middle");
}

static void
RecordFailures(Balancer& aBalancer, const std::string& aNode, Deadline aNow)
{
  for (int failure = 0; failure < 3; ++failure) {
    aBalancer.RecordSent(aNode, CallClass::Short, aNow);
    aBalancer.RecordResult(
      { .node = aNode, .costGroup = "r", .outcome = AttemptOutcome::Failed, .sentAt = aNow }, aNow);
  }
}

// Guards against: only the gates nearby are considered although all of them fail.
BOOST_AUTO_TEST_CASE(calls_leave_a_failure_domain_whose_gates_are_ejected_until_the_ejection_ends)
{
  Balancer balancer({ .distance = kTrafficCosts });
  const std::vector<GateInfo> gates{ MakeGate("near-0", Locality::FailureDomain),
                                     MakeGate("near-1", Locality::FailureDomain),
                                     MakeGate("middle-0", Locality::Region),
                                     MakeGate("middle-1", Locality::Region) };
  for (const GateInfo& gate : gates) {
    RecordCalls(balancer, gate.node, milliseconds(20));
  }
  const Deadline now = SteadyClock::now();
  RecordFailures(balancer, "near-0", now);
  RecordFailures(balancer, "near-1", now);
  BOOST_TEST((balancer.Choose(gates, {}, kRequirements, now)->gate.locality == Locality::Region));
  BOOST_TEST((balancer.Choose(gates, {}, kRequirements, now + milliseconds(501))->gate.locality ==
              Locality::FailureDomain));
  RecordFailures(balancer, "middle-0", now);
  BOOST_TEST((balancer.Choose(gates, {}, kRequirements, now)->gate.locality == Locality::FailureDomain));
}

// Guards against: a choice among the gates of a directory uses those of an earlier one.
BOOST_AUTO_TEST_CASE(choices_follow_the_directory)
{
  Balancer balancer({ .distance = kTrafficCosts });
  for (const char* node : { "a", "b" }) {
    const auto directory = std::make_shared<GateDirectory>();
    directory->gates["s"] = { MakeGate(node, Locality::FailureDomain) };
    balancer.SetDirectory(directory);
    BOOST_TEST(balancer.Choose(directory->gates["s"], {}, kRequirements, SteadyClock::now())->gate.node ==
               node);
  }
}

// Guards against: a call is sent to gate after gate although it is known that none has room.
BOOST_AUTO_TEST_CASE(a_call_expects_a_rejection_only_if_no_gate_may_have_room)
{
  Balancer balancer({ .distance = kTrafficCosts });
  CallRequirements requirements = kRequirements;
  requirements.longestWait = milliseconds(300);
  const Deadline now = SteadyClock::now();
  for (const GateInfo& gate : kGates) {
    RecordCalls(balancer, gate.node, milliseconds(200));
    BOOST_TEST(!balancer.Choose(kGates, {}, requirements, now)->expectsRejection);
    balancer.RecordLoad(
      gate.node, { .slotsInUse = 6, .slots = 6, .queueLength = 12, .queueWait = milliseconds(900) }, now);
  }
  BOOST_TEST(balancer.Choose(kGates, {}, requirements, now)->expectsRejection);
  // Reports that are too old prove nothing.
  BOOST_TEST(!balancer.Choose(kGates, {}, requirements, now + milliseconds(3000))->expectsRejection);
}

BOOST_AUTO_TEST_CASE(an_old_report_counts_less_than_the_average)
{
  const Deadline start = SteadyClock::now();
  LoadEstimate estimate;
  for (int second = 0; second < 10; ++second) {
    estimate.Record(2, start + std::chrono::seconds(second));
  }
  const Deadline last = start + milliseconds(9010);
  estimate.Record(9, last);
  BOOST_TEST(estimate.CallsAt(last, milliseconds(100)) > 8.9);
  BOOST_TEST(estimate.CallsAt(last + milliseconds(100), milliseconds(100)) < 5);
  BOOST_TEST(estimate.CallsAt(last + milliseconds(800), milliseconds(100)) < 2.2);
}

BOOST_AUTO_TEST_CASE(the_load_of_a_service_counts_gates_with_recent_reports_and_own_calls)
{
  Balancer balancer({ .distance = kTrafficCosts });
  const auto directory = std::make_shared<GateDirectory>();
  directory->gates["s"] = kGates;
  balancer.SetDirectory(directory);
  const Deadline now = SteadyClock::now();
  balancer.RecordLoad("near", { .slotsInUse = 6, .slots = 6 }, now);
  balancer.RecordLoad("middle", { .slotsInUse = 0, .slots = 6 }, now);
  balancer.RecordSent("middle", CallClass::Short, now);
  balancer.RecordSent("middle", CallClass::Short, now);
  balancer.RecordSent("middle", CallClass::Short, now);
  const ServiceLoad load = balancer.ServiceLoads(now).at(0);
  BOOST_TEST(load.service == "s");
  BOOST_TEST(load.busiestLoad == 1.0, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(load.meanLoad == 0.75, boost::test_tools::tolerance(1e-6));
}

// Guards against: an explanation says something other than what calls do.
BOOST_AUTO_TEST_CASE(the_first_gate_of_an_explanation_is_the_one_that_is_chosen)
{
  for (const char* loaded : { "none", "near", "middle", "far" }) {
    Balancer balancer({ .distance = kTrafficCosts });
    for (const GateInfo& gate : kGates) {
      RecordCalls(balancer, gate.node, milliseconds(20));
    }
    const Deadline now = SteadyClock::now();
    balancer.RecordLoad(
      loaded, { .slots = 6, .queueWait = milliseconds(500), .failurePenalty = milliseconds(90) }, now);
    CallRequirements requirements = kRequirements;
    requirements.longestWait = milliseconds(400);
    const std::vector<GateCost> costs = balancer.Explain(kGates, requirements, now + milliseconds(40));
    const GateChoice choice = *balancer.Choose(kGates, {}, requirements, now + milliseconds(40));
    BOOST_TEST(costs.at(0).node == choice.gate.node);
    BOOST_TEST(costs.at(0).waitsTooLong == choice.expectsRejection);
    for (const GateCost& cost : costs) {
      const bool isLoaded = cost.node == loaded;
      BOOST_TEST(cost.waitsTooLong == isLoaded);
      BOOST_TEST((!isLoaded || cost.failurePenalty == milliseconds(90)));
      BOOST_TEST(cost.reportAge.has_value() == isLoaded);
      BOOST_TEST((!isLoaded || *cost.reportAge == milliseconds(40)));
      BOOST_TEST((cost.totalCost >= cost.distanceCost + cost.failurePenalty));
    }
  }
}
