#define BOOST_TEST_MODULE crashledger
#include "quarantine/crashledger.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;

static const Deadline kStart{ std::chrono::hours(1) };

static wire::TargetCrash
MakeCrash(const std::string& aIdentifier, const std::vector<std::string>& aFingerprints)
{
  wire::TargetCrash crash;
  crash.identifier = aIdentifier;
  crash.target = "target";
  crash.fingerprints = aFingerprints;
  return crash;
}

static bool
IsQuarantined(const CrashLedger& aLedger, const std::string& aFingerprint, Deadline aNow)
{
  const auto requests = aLedger.Quarantined(aNow);
  return std::any_of(requests.begin(), requests.end(), [&](const wire::QuarantinedRequest& aRequest) {
    return aRequest.fingerprint == aFingerprint;
  });
}

BOOST_AUTO_TEST_CASE(a_request_is_quarantined_after_the_third_target_that_ended_under_it)
{
  int changes = 0;
  CrashLedger ledger([&] { ++changes; });
  ledger.Record(MakeCrash("a", { "deadly", "first" }), kStart);
  ledger.Record(MakeCrash("b", { "deadly", "second" }), kStart);
  BOOST_TEST(ledger.Quarantined(kStart).empty());
  const wire::QuarantineMark before = ledger.Mark();
  ledger.Record(MakeCrash("c", { "deadly", "third" }), kStart);
  BOOST_TEST(IsQuarantined(ledger, "deadly", kStart));
  BOOST_TEST(ledger.Quarantined(kStart).size() == 1);
  BOOST_TEST((ledger.Mark() != before));
  BOOST_TEST(changes == 1);
}

BOOST_AUTO_TEST_CASE(an_end_that_is_reported_twice_counts_once)
{
  CrashLedger ledger([] {});
  for (int report = 0; report < 3; ++report) {
    ledger.Record(MakeCrash("a", { "request" }), kStart);
  }
  BOOST_TEST(ledger.Quarantined(kStart).empty());
}

BOOST_AUTO_TEST_CASE(a_request_gets_targets_again_after_its_time_in_quarantine)
{
  CrashLedger ledger([] {});
  for (const char* crash : { "a", "b", "c" }) {
    ledger.Record(MakeCrash(crash, { "request" }), kStart);
  }
  const Deadline later = kStart + std::chrono::minutes(11);
  BOOST_TEST(!IsQuarantined(ledger, "request", later));
  ledger.Record(MakeCrash("d", { "request" }), later);
  BOOST_TEST(!IsQuarantined(ledger, "request", later));
}

BOOST_AUTO_TEST_CASE(memory_stays_bounded_and_recent_counts_survive)
{
  CrashLedger ledger([] {});
  for (int crash = 0; crash < 20000; ++crash) {
    const std::string identifier = std::to_string(crash);
    ledger.Record(MakeCrash(identifier, { "other-" + identifier }), kStart);
    if (crash % 7000 == 6999) {
      ledger.Record(MakeCrash("deadly-" + identifier, { "deadly" }), kStart);
    }
  }
  BOOST_TEST(ledger.Quarantined(kStart).empty());
  for (const char* crash : { "a", "b", "c" }) {
    ledger.Record(MakeCrash(crash, { "deadly" }), kStart);
  }
  BOOST_TEST(IsQuarantined(ledger, "deadly", kStart));
}

BOOST_AUTO_TEST_CASE(a_restarted_replica_learns_the_list_from_a_node)
{
  CrashLedger ledger([] {});
  for (const char* crash : { "a", "b", "c" }) {
    ledger.Record(MakeCrash(crash, { "request" }), kStart);
  }
  Quarantine node;
  node.Add(ledger.Quarantined(kStart), kStart);
  CrashLedger restarted([] {});
  restarted.Add(node.All(kStart), kStart);
  BOOST_TEST(IsQuarantined(restarted, "request", kStart));
  BOOST_TEST((restarted.Mark().epoch != ledger.Mark().epoch));
}
