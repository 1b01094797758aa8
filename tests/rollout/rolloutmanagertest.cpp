#define BOOST_TEST_MODULE rolloutmanager
#include "control/rolloutmanager.h"
#include "common/compression.h"
#include "common/digest.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <thread>

using namespace mimosarun;

using std::chrono::milliseconds;

static constexpr milliseconds kDuration{ 4000 };
static constexpr int kTargets = 4;
static constexpr int kCallsOfReport = 20;

/** A configuration group of one replica, and nodes that report responses according to the current share. */
class FakeMesh
{
public:
  explicit FakeMesh(bool aIsBad)
    : m_isBad(aIsBad)
    , m_manager({ .limits = {},
                  .parser = ParserOf<NativeFormat>(),
                  .isLeader = [this] { return m_isLeader.load(); },
                  .submit = [this](const wire::Command& aCommand, Deadline) { return Apply(aCommand); },
                  .collector = { .otherReplicas = [] { return std::vector<wire::Replica>(); },
                                 .peerOf = [](const std::string&) { return nullptr; } } },
                m_configuration,
                m_outcomes)
  {
    wire::Command order;
    order.kind = wire::CommandKind::StartRollout;
    order.atMicros = WallNow().time_since_epoch().count();
    wire::RolloutRecord record;
    record.serviceName = "books";
    record.candidateVersion = "v2";
    record.durationMillis = kDuration.count();
    order.__set_rollout(record);
    Apply(order);
    m_manager.Start();
  }

  wire::CommandResult Apply(const wire::Command& aCommand)
  {
    wire::LogEntry entry;
    entry.command = aCommand;
    return m_configuration.Apply(entry);
  }

  /** Reports calls until the roll-out has ended or aTime has passed; returns its state. */
  wire::RolloutRecord Run(milliseconds aTime)
  {
    const Deadline end = SteadyClock::now() + aTime;
    while (SteadyClock::now() < end && Record().state == wire::RolloutState::Running) {
      ReportCalls(Record());
      std::this_thread::sleep_for(milliseconds(50));
    }
    return Record();
  }

  wire::RolloutRecord Record() const { return m_configuration.FindRollout("books")->record; }

  void SetLeader(bool aIsLeader) { m_isLeader = aIsLeader; }
  const RolloutManager& Manager() const { return m_manager; }

private:
  void ReportCalls(const wire::RolloutRecord& aRecord)
  {
    ++m_sequence;
    for (int number = 0; number < 2 * kTargets; ++number) {
      const bool isCandidate = number >= kTargets;
      wire::NodeOutcomes report;
      report.node = "n" + std::to_string(number);
      report.incarnation = 1;
      report.sequence = m_sequence;
      report.serviceName = "books";
      report.version = isCandidate ? "v2" : "v1";
      report.appliedRevision = aRecord.revision;
      const int permille = isCandidate ? aRecord.candidatePermille : 1000 - aRecord.candidatePermille;
      m_credits[number] += permille * kCallsOfReport;
      const int calls = m_credits[number] / 1000;
      m_credits[number] %= 1000;
      wire::VersionOutcomes& outcomes = m_counts[number];
      outcomes.version = report.version;
      outcomes.route = "read";
      outcomes.responses += calls;
      outcomes.failures += isCandidate && m_isBad ? calls : 0;
      outcomes.latencyCounts.resize(LatencyBuckets::kCount);
      outcomes.latencyCounts[3] += calls;
      report.outcomes = { outcomes };
      m_outcomes.Add(report, SteadyClock::now());
    }
  }

  const bool m_isBad;
  std::atomic<bool> m_isLeader{ true };
  ConfigurationState m_configuration;
  OutcomeTable m_outcomes;
  int64_t m_sequence = 0;
  std::array<wire::VersionOutcomes, 2 * kTargets> m_counts;
  std::array<int, 2 * kTargets> m_credits{};
  RolloutManager m_manager;
};

BOOST_AUTO_TEST_CASE(a_good_version_is_completed_by_its_deadline)
{
  FakeMesh mesh(false);
  const wire::RolloutRecord record = mesh.Run(kDuration + milliseconds(200));
  BOOST_TEST((record.state == wire::RolloutState::Completed));
  BOOST_TEST(record.candidatePermille == 1000);
  BOOST_TEST(record.elapsedMillis <= kDuration.count());
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_rolled_back_and_stays_rejected)
{
  FakeMesh mesh(true);
  const wire::RolloutRecord record = mesh.Run(kDuration);
  BOOST_TEST((record.state == wire::RolloutState::RolledBack));
  BOOST_TEST(record.candidatePermille == 0);
  BOOST_TEST((record.rejectedVersions == std::vector<std::string>{ "v2" }));
  BOOST_TEST(record.reason.find("responses failed") != std::string::npos, record.reason);
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_lead_changes_nothing)
{
  // Guards against two replicas that advance a roll-out.
  FakeMesh mesh(false);
  mesh.SetLeader(false);
  BOOST_TEST(mesh.Run(milliseconds(2000)).revision == 1);
  BOOST_TEST(mesh.Manager().Explanations().empty());
}

BOOST_AUTO_TEST_CASE(a_removed_service_ends_its_rollout)
{
  // Guards against a roll-out that holds a service that no longer exists.
  FakeMesh mesh(false);
  wire::Command replace;
  replace.kind = wire::CommandKind::Replace;
  replace.version = 1;
  const std::string text = CanonicalText(R"({"services":{},"routes":{}})", "test").value();
  replace.hash = Sha256(text);
  replace.body = Compress(text);
  BOOST_REQUIRE((mesh.Apply(replace).code == wire::ResultCode::Done));
  const wire::RolloutRecord record = mesh.Run(milliseconds(2000));
  BOOST_TEST((record.state == wire::RolloutState::RolledBack));
}
