#define BOOST_TEST_MODULE crashledger
#include "quarantine/crashledger.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kStart{ std::chrono::hours(1) };
/** Time after the third end by which a request that ends targets is held back (the users' bar). */
static constexpr milliseconds kHoldTime{ 3000 };

/** A request at the end of a target. */
struct Ran
{
  std::string fingerprint;
  /** Since when it had run to its end there again and again, if it had. */
  std::optional<Deadline> provenSince = {};
};

/** A ledger to which targets of the service "s" report. */
class Fixture
{
public:
  /** Reports the end of the target of a node. */
  void Crash(const std::string& aNode,
             const std::vector<Ran>& aRequests,
             Deadline aNow = kStart,
             const std::string& aVersion = "v1")
  {
    wire::TargetCrash crash;
    crash.identifier = "crash-" + std::to_string(++m_crashes);
    Report(crash, aNode, aRequests, aNow, aVersion);
  }

  void Report(wire::TargetCrash aCrash,
              const std::string& aNode,
              const std::vector<Ran>& aRequests,
              Deadline aNow,
              const std::string& aVersion = "v1")
  {
    aCrash.target = "target of " + aNode;
    aCrash.place = Place(aNode, aVersion);
    for (const Ran& request : aRequests) {
      aCrash.suspects.push_back(MakeSuspect(request, aNow));
    }
    ledger.Record(aCrash, aNow);
  }

  /** Reports that requests have run to their end at a node again and again, since a time. */
  void Prove(const std::string& aNode,
             const std::string& aFingerprint,
             Deadline aSince,
             Deadline aNow,
             const std::string& aVersion = "v1")
  {
    wire::ProvenRuns runs;
    runs.place = Place(aNode, aVersion);
    runs.requests.push_back(MakeSuspect({ .fingerprint = aFingerprint, .provenSince = aSince }, aNow));
    ledger.RecordRuns(runs, aNow);
  }

  /** Returns whether no target may run a request. */
  bool IsHeld(const std::string& aFingerprint, Deadline aNow) const
  {
    return std::ranges::any_of(ledger.Quarantined(aNow), [&](const wire::QuarantinedRequest& aRequest) {
      return aRequest.fingerprint == aFingerprint && !aRequest.__isset.node;
    });
  }

  /** Returns whether the target of a node alone may not run a request. */
  bool IsHeldFrom(const std::string& aNode, const std::string& aFingerprint, Deadline aNow) const
  {
    return std::ranges::any_of(ledger.Quarantined(aNow), [&](const wire::QuarantinedRequest& aRequest) {
      return aRequest.fingerprint == aFingerprint && aRequest.__isset.node && aRequest.node == aNode;
    });
  }

  /** Reports that a target of the service runs some requests to their end. */
  void Serve(const std::string& aNode, Deadline aNow)
  {
    wire::ProvenRuns runs;
    runs.place = Place(aNode, "v1");
    ledger.RecordRuns(runs, aNow);
  }

  /** Lets time pass. */
  void PassUntil(Deadline aFrom, Deadline aUntil)
  {
    for (Deadline now = aFrom; now <= aUntil; now += milliseconds(250)) {
      ledger.EvaluateSuspects(now);
    }
    ledger.EvaluateSuspects(aUntil);
  }

  int changes = 0;
  CrashLedger ledger{ [this] { ++changes; } };

private:
  static wire::TargetPlace Place(const std::string& aNode, const std::string& aVersion)
  {
    wire::TargetPlace place;
    place.node = aNode;
    place.serviceName = "s";
    place.version = aVersion;
    return place;
  }

  static wire::CrashSuspect MakeSuspect(const Ran& aRequest, Deadline aNow)
  {
    wire::CrashSuspect suspect;
    suspect.fingerprint = aRequest.fingerprint;
    if (aRequest.provenSince) {
      suspect.__set_provenMillisAgo(
        std::chrono::duration_cast<milliseconds>(aNow - *aRequest.provenSince).count());
    }
    return suspect;
  }

  int m_crashes = 0;
};

/** A time in the test. */
static Deadline
At(int aMillis)
{
  return kStart + milliseconds(aMillis);
}

// --- requests that end targets
// -------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(a_request_is_quarantined_after_the_third_target_that_ended_under_it, Fixture)
{
  Crash("a", { { "deadly" }, { "first" } });
  Crash("b", { { "deadly" }, { "second" } });
  BOOST_TEST(ledger.Quarantined(kStart).empty());
  const wire::QuarantineMark before = ledger.Mark();
  Crash("c", { { "deadly" }, { "third" } });
  BOOST_TEST(IsHeld("deadly", kStart));
  BOOST_TEST(ledger.Quarantined(kStart).size() == 1);
  BOOST_TEST((ledger.Mark() != before));
  BOOST_TEST(changes > 0);
}

BOOST_FIXTURE_TEST_CASE(an_end_that_is_reported_twice_counts_once, Fixture)
{
  wire::TargetCrash crash;
  crash.identifier = "a";
  for (int report = 0; report < 3; ++report) {
    Report(crash, "a", { { "request" } }, kStart);
  }
  PassUntil(kStart, kStart + kHoldTime);
  BOOST_TEST(ledger.Quarantined(kStart).empty());
}

BOOST_FIXTURE_TEST_CASE(a_request_gets_targets_again_after_its_time_in_quarantine, Fixture)
{
  for (const char* node : { "a", "b", "c" }) {
    Crash(node, { { "request" } });
  }
  const Deadline later = kStart + std::chrono::minutes(11);
  BOOST_TEST(!IsHeld("request", later));
  Crash("d", { { "request" } }, later);
  BOOST_TEST(!IsHeld("request", later));
}

BOOST_FIXTURE_TEST_CASE(memory_stays_bounded_and_recent_counts_survive, Fixture)
{
  for (int crash = 0; crash < 20000; ++crash) {
    Crash("a", { { "other-" + std::to_string(crash) } });
    if (crash % 7000 == 6999) {
      Crash("a", { { "deadly" } });
    }
  }
  BOOST_TEST(ledger.Quarantined(kStart).empty());
  for (const char* node : { "a", "b", "c" }) {
    Crash(node, { { "deadly" } });
  }
  BOOST_TEST(IsHeld("deadly", kStart));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_replica_learns_the_list_from_a_node, Fixture)
{
  for (const char* node : { "a", "b", "c" }) {
    Crash(node, { { "request" } });
  }
  Quarantine node;
  node.Add(ledger.Quarantined(kStart), kStart);
  Fixture restarted;
  restarted.ledger.Add(node.All(kStart), kStart);
  BOOST_TEST(restarted.IsHeld("request", kStart));
  BOOST_TEST((restarted.ledger.Mark().epoch != ledger.Mark().epoch));
}

// Guards against: a request that runs to its end at the targets of some nodes is cleared of ending others.
BOOST_FIXTURE_TEST_CASE(a_request_that_ends_some_targets_only_is_held, Fixture)
{
  Crash("a", { { "deadly" } }, At(0));
  Crash("b", { { "deadly" } }, At(1000));
  Prove("c", "deadly", At(1100), At(1500));
  Prove("d", "deadly", At(1100), At(1500));
  Crash("a", { { "deadly" } }, At(2000));
  BOOST_TEST(IsHeld("deadly", At(2000)));
}

// Guards against: what a version runs to its end clears a request of ending the targets of another one.
BOOST_FIXTURE_TEST_CASE(a_request_that_ends_the_targets_of_one_version_is_held, Fixture)
{
  for (const int millis : { 0, 1000, 2000 }) {
    Crash(millis == 1000 ? "b" : "a", { { "deadly" } }, At(millis), "v2");
    Prove("c", "deadly", At(millis + 100), At(millis + 400), "v1");
  }
  BOOST_TEST(IsHeld("deadly", At(2400)));
}

// Guards against: a request that once ran to its end ends target after target.
BOOST_FIXTURE_TEST_CASE(a_request_that_begins_to_end_targets_is_held_in_time, Fixture)
{
  for (const bool hasOthers : { true, false }) {
    Fixture fixture;
    for (const int millis : { 0, 100, 200 }) {
      fixture.Crash("node-" + std::to_string(millis), { { "deadly", At(-200) } }, At(millis));
    }
    if (hasOthers) {
      fixture.Serve("d", At(250));
    } else {
      fixture.Crash("d", { { "deadly", At(-200) } }, At(2500));
    }
    fixture.PassUntil(At(250), At(200) + kHoldTime);
    BOOST_TEST(fixture.IsHeld("deadly", At(200) + kHoldTime));
  }
}

// Guards against: a request that takes long, or comes rarely, is quarantined before it can run to its end.
BOOST_FIXTURE_TEST_CASE(a_request_that_takes_long_has_as_long_to_clear_itself, Fixture)
{
  for (const char* node : { "a", "b", "c" }) {
    Crash(node, { { "report", At(-4000) } }, At(0));
  }
  Serve("d", At(200));
  PassUntil(At(200), At(7000));
  BOOST_TEST(!IsHeld("report", At(7000)));
  Prove("d", "report", At(1000), At(7100));
  PassUntil(At(7100), At(30000));
  BOOST_TEST(!IsHeld("report", At(30000)));
}

// Guards against: a request ends the target of one node again and again, since others run it to its end.
BOOST_FIXTURE_TEST_CASE(a_request_that_ends_one_target_is_kept_from_it_and_runs_at_others, Fixture)
{
  for (const int millis : { 0, 1000, 2000 }) {
    BOOST_TEST(!IsHeldFrom("a", "request", At(millis)));
    Crash("a", { { "request", At(-500) } }, At(millis));
    Prove("b", "request", At(millis + 100), At(millis + 400));
  }
  PassUntil(At(2400), At(2400) + kHoldTime);
  BOOST_TEST(IsHeldFrom("a", "request", At(5400)));
  BOOST_TEST(!IsHeld("request", At(5400)));
}

// Guards against: a request is kept from the targets of one node after the other, and ends all of them.
BOOST_FIXTURE_TEST_CASE(a_request_that_ends_the_targets_of_several_nodes_in_turn_is_held_from_all, Fixture)
{
  int now = 0;
  for (const char* node : { "a", "b", "c" }) {
    for (int crash = 0; crash < 3; ++crash) {
      Crash(node, { { "request", At(-500) } }, At(now));
      Prove("other", "request", At(now + 100), At(now + 400));
      now += 1000;
    }
  }
  BOOST_TEST(IsHeld("request", At(now)));
}

// --- requests that ran beside an end
// -----------------------------------------------------------------------------------

// Guards against: after three ends of targets, each by itself, a request that many callers send alike is
// refused everywhere (docs/incidents/023).
BOOST_FIXTURE_TEST_CASE(a_request_that_runs_on_at_the_targets_that_ended_is_not_quarantined, Fixture)
{
  for (int crash = 0; crash < 12; ++crash) {
    const int millis = 2500 * crash;
    const std::string node = crash % 3 == 0 ? "b" : "a";
    Crash(node, { { "list", At(millis - 300) }, { "charge-" + std::to_string(crash) } }, At(millis));
    PassUntil(At(millis), At(millis + 2400));
  }
  BOOST_TEST(ledger.Quarantined(At(30000)).empty());
}

// Guards against: the same, where several targets end within moments, as those of a failure domain do.
BOOST_FIXTURE_TEST_CASE(a_request_that_others_run_after_three_ends_at_once_is_not_quarantined, Fixture)
{
  for (const char* node : { "a", "b", "c" }) {
    Crash(node, { { "list", At(-300) } }, At(0));
  }
  BOOST_TEST(ledger.Suspects().size() == 1u);
  ledger.EvaluateSuspects(At(250));
  Prove("d", "list", At(100), At(500));
  BOOST_TEST(ledger.Suspects().empty());
  PassUntil(At(500), At(500) + kHoldTime);
  BOOST_TEST(ledger.Quarantined(At(4000)).empty());
}

// Guards against: requests are quarantined for the end of all targets at once, after which none can run them.
BOOST_FIXTURE_TEST_CASE(a_request_is_not_quarantined_while_no_target_can_run_it, Fixture)
{
  for (const char* node : { "a", "b", "c", "d" }) {
    Crash(node, { { "list", At(-300) } }, At(0));
  }
  PassUntil(At(0), At(60000));
  BOOST_TEST(ledger.Quarantined(At(60000)).empty());
}

// Guards against: what runs beside requests that end targets is quarantined before these are.
BOOST_FIXTURE_TEST_CASE(an_end_with_a_stronger_suspect_does_not_count, Fixture)
{
  const std::vector<std::string> nodes{ "a", "b", "c", "d" };
  for (const int millis : { 0, 1200 }) {
    for (size_t i = 0; i < nodes.size(); ++i) {
      Crash(
        nodes[i], { { "deadly-" + std::to_string(i % 2) }, { "list", At(-300) } }, At(millis + 5 * int(i)));
    }
  }
  BOOST_TEST(IsHeld("deadly-0", At(1220)));
  BOOST_TEST(IsHeld("deadly-1", At(1220)));
  BOOST_TEST(!IsHeld("list", At(1220)));
}

// Guards against: what runs beside a request that ends targets is quarantined with it.
BOOST_FIXTURE_TEST_CASE(a_request_that_ran_beside_the_cause_is_cleared_by_its_quarantine, Fixture)
{
  for (const int millis : { 0, 100, 200 }) {
    Crash("node-" + std::to_string(millis), { { "deadly" }, { "list", At(millis - 300) } }, At(millis));
  }
  BOOST_TEST(IsHeld("deadly", At(200)));
  PassUntil(At(200), At(200) + kHoldTime);
  BOOST_TEST(!IsHeld("list", At(200) + kHoldTime));
}

// Guards against: the same beside several requests that end targets.
BOOST_FIXTURE_TEST_CASE(a_request_is_cleared_beside_several_causes, Fixture)
{
  int millis = 0;
  for (int round = 0; round < 3; ++round) {
    for (const char* deadly : { "first", "second", "third" }) {
      millis += 150;
      Crash("node-" + std::to_string(millis % 4), { { deadly }, { "list", At(millis - 100) } }, At(millis));
    }
  }
  for (const char* deadly : { "first", "second", "third" }) {
    BOOST_TEST(IsHeld(deadly, At(millis)));
  }
  PassUntil(At(millis), At(millis) + kHoldTime);
  BOOST_TEST(!IsHeld("list", At(millis) + kHoldTime));
}

// Guards against: reports of gates that were restarted, and don't know yet what runs to its end, quarantine
// requests.
BOOST_FIXTURE_TEST_CASE(a_report_of_a_new_gate_is_inconclusive, Fixture)
{
  for (int crash = 0; crash < 3; ++crash) {
    wire::TargetCrash report;
    report.identifier = std::to_string(crash);
    report.isNewlyWatched = true;
    Report(report, "node-" + std::to_string(crash), { { "list" }, { "deadly" } }, At(100 * crash));
  }
  BOOST_TEST(ledger.Quarantined(At(300)).empty());
  Prove("d", "list", At(250), At(600));
  PassUntil(At(600), At(200) + kHoldTime);
  BOOST_TEST(!IsHeld("list", At(3200)));
  BOOST_TEST(IsHeld("deadly", At(3200)));
}

// Guards against: proofs from before an end, which say nothing about it.
BOOST_FIXTURE_TEST_CASE(a_proof_clears_only_of_earlier_ends, Fixture)
{
  for (const char* node : { "a", "b", "c" }) {
    Crash(node, { { "deadly", At(-300) } }, At(0));
  }
  Prove("d", "deadly", At(-100), At(200));
  Crash("d", { { "deadly", At(-300) } }, At(3000));
  BOOST_TEST(IsHeld("deadly", At(3000)));
}

// Guards against: three ends in the course of days, each by itself, quarantine a rare request.
BOOST_FIXTURE_TEST_CASE(old_ends_do_not_count, Fixture)
{
  for (const int hours : { 0, 2, 4 }) {
    Crash("a", { { "rare" } }, kStart + std::chrono::hours(hours));
  }
  BOOST_TEST(ledger.Quarantined(kStart + std::chrono::hours(4)).empty());
}
