#include "harness/measurerun.h"

#include "harness/measurereport.h"
#include "harness/mesh.h"
#include "load/generator.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <tuple>

namespace mimosarun {

using Milliseconds = std::chrono::milliseconds;

static constexpr unsigned int kLoadThreads = 2;
static constexpr Milliseconds kStartLimit{ 30000 };
static constexpr double kAddedTimeThresholdMs = 0.98;
static constexpr double kInForceThresholdMs = 4000;
static constexpr double kRatioThreshold = 2;
static constexpr double kGoodputThreshold = 0.9;
static constexpr int kOverloadFactor = 5;
static constexpr int kChanges = 20;
/** Lengthens the load so that dozens of calls lie beyond the 99th percentile. */
static constexpr int kAddedTimeLengthFactor = 4;
static constexpr int64_t kAddedTimeCallsPerSecond = 300;
static constexpr int kSlowdownFactor = 10;

static const char* const kPolicies[] = { "expected-time", "least-in-flight", "random" };

/** Measures one user's deployment under one policy. */
class PolicyBenchmark
{
public:
  PolicyBenchmark(std::string aUser, std::string aPolicy, Milliseconds aLength)
    : m_user(std::move(aUser))
    , m_policy(std::move(aPolicy))
    , m_length(aLength)
    , m_mesh(OptionsOf(m_user, m_policy))
  {
  }

  bool Start()
  {
    int64_t version = 0;
    return m_mesh.Start() &&
           WaitUntil(kStartLimit,
                     [&] {
                       version = m_mesh.Install(m_mesh.Document());
                       return version > 0;
                     }) &&
           m_mesh.WaitServing(kStartLimit) && m_mesh.WaitForFullMembership(kStartLimit);
  }

  std::vector<MeasureRow> Run(bool aMeasureControl)
  {
    if (aMeasureControl) {
      MeasureIdleLinkTraffic();
      MeasureConvergence();
      MeasureAddedTime();
    }
    MeasureShortBehindLong();
    MeasureSlowedTarget();
    MeasureOverload();
    return std::move(m_rows);
  }

private:
  static MeshOptions OptionsOf(const std::string& aUser, const std::string& aPolicy)
  {
    MeshOptions options = aUser == "brianza" ? BrianzaMesh() : PettigrewMesh();
    options.nodeOptions = { "--balance", aPolicy };
    options.folder = "run/measure-" + aUser + "-" + aPolicy;
    return options;
  }

  void Add(const std::string& aMeasure,
           const std::string& aUnit,
           double aValue,
           double aThreshold = -1,
           bool aLowerIsBetter = true)
  {
    m_rows.push_back({ .user = m_user,
                       .measure = aMeasure,
                       .policy = m_policy,
                       .unit = aUnit,
                       .values = { aValue },
                       .threshold = aThreshold,
                       .lowerIsBetter = aLowerIsBetter });
  }

  Workload NewWorkload() const
  {
    Workload workload;
    for (const std::string& node : m_mesh.Nodes()) {
      workload.entries.push_back(const_cast<Mesh&>(m_mesh).ProcessOf(node).callerAddress);
    }
    return workload;
  }

  static double ToMilliseconds(std::chrono::microseconds aTime)
  {
    return static_cast<double>(aTime.count()) / 1000;
  }

  static LoadTally TallyOf(const LoadReport& aReport, const std::string& aPhase, const std::string& aKind)
  {
    const auto found = aReport.find({ .phase = aPhase, .kind = aKind });
    return found == aReport.end() ? LoadTally{} : found->second;
  }

  void CountWrongResponses(const LoadReport& aReport)
  {
    for (const auto& [key, tally] : aReport) {
      m_wrongResponses += tally.wrong;
    }
    Add("answers that weren't the caller's own", "calls", static_cast<double>(m_wrongResponses), 0);
  }

  void MeasureIdleLinkTraffic()
  {
    std::map<std::string, uint64_t> before;
    for (const char* kind : { "control peer", "node peer", "node gate" }) {
      before[kind] = m_mesh.Proxy().LinkBytes("regions", kind);
    }
    const uint64_t all = m_mesh.Proxy().LinkBytes("regions");
    const Milliseconds time{ 10000 };
    std::this_thread::sleep_for(time);
    const auto bytes = static_cast<double>(m_mesh.Proxy().LinkBytes("regions") - all);
    Add("link bytes for an idle minute", "KB", bytes * 6 / 1000);
    for (const auto& [kind, start] : before) {
      const auto own = static_cast<double>(m_mesh.Proxy().LinkBytes("regions", kind) - start);
      Add("link bytes for an idle minute, " + kind, "KB", own * 6 / 1000);
    }
    m_idleBytesPerMs = bytes / static_cast<double>(time.count());
  }

  void MeasureConvergence()
  {
    std::vector<double> times;
    int64_t currentVersion = m_mesh.Install(m_mesh.Document("first"));
    const uint64_t bytesBefore = m_mesh.Proxy().LinkBytes("regions");
    const auto start = SteadyClock::now();
    for (int change = 0; change < kChanges; ++change) {
      const auto changeStart = SteadyClock::now();
      const int64_t version =
        m_mesh.InstallOn(currentVersion, m_mesh.Document("change-" + std::to_string(change)));
      currentVersion = std::max(currentVersion, version);
      if (version == 0 || !m_mesh.WaitInForce(version, Milliseconds(10000))) {
        times.push_back(kInForceThresholdMs * 10);
        continue;
      }
      times.push_back(std::chrono::duration<double, std::milli>(SteadyClock::now() - changeStart).count());
    }
    const double spent = std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
    const auto bytes = static_cast<double>(m_mesh.Proxy().LinkBytes("regions") - bytesBefore);
    std::sort(times.begin(), times.end());
    Add("propose, accept, in force everywhere, p50", "ms", times[times.size() / 2]);
    Add("propose, accept, in force everywhere, max", "ms", times.back(), kInForceThresholdMs);
    Add("link bytes for a change beyond idle", "KB", (bytes - m_idleBytesPerMs * spent) / kChanges / 1000);
  }

  void MeasureAddedTime()
  {
    const std::string service = m_mesh.Options().services.front();
    RequestKind kind{ .name = "call", .method = "GET", .path = "/" + service + "/item?ms=5&bytes=1000" };
    Workload through = NewWorkload();
    through.kinds = { kind };
    through.phases = { { .name = "all",
                         .duration = kAddedTimeLengthFactor * m_length,
                         .callsPerSecond = kAddedTimeCallsPerSecond } };
    Workload direct = through;
    direct.entries.clear();
    for (const std::string& target : m_mesh.Targets()) {
      if (m_mesh.TargetOf(target).service == service) {
        direct.entries.push_back(m_mesh.TargetOf(target).address);
      }
    }
    const LoadTally withMesh = TallyOf(LoadGenerator(through, kLoadThreads).Run(), "all", "call");
    const LoadTally withoutMesh = TallyOf(LoadGenerator(direct, kLoadThreads).Run(), "all", "call");
    Add("added to a call, p50",
        "ms",
        ToMilliseconds(withMesh.latencies.Quantile(0.5)) -
          ToMilliseconds(withoutMesh.latencies.Quantile(0.5)));
    Add("added to a call, p99",
        "ms",
        ToMilliseconds(withMesh.latencies.Quantile(0.99)) -
          ToMilliseconds(withoutMesh.latencies.Quantile(0.99)),
        kAddedTimeThresholdMs);
  }

  /** Returns the calls per second that the targets of one service can run at their normal cost. */
  int64_t Capacity() const
  {
    const MeshOptions& options = m_mesh.Options();
    const auto targets = static_cast<int64_t>(m_mesh.Targets().size() / options.services.size());
    return targets * options.slots * 1000 / options.callCost.count();
  }

  void MeasureShortBehindLong()
  {
    const std::string service = m_mesh.Options().services[2];
    Workload workload = NewWorkload();
    workload.kinds = { { .name = "short", .method = "GET", .path = "/" + service + "/item", .weight = 100 } };
    workload.phases = { { .name = "quiet", .duration = m_length, .callsPerSecond = Capacity() / 5 } };
    const LoadTally quiet = TallyOf(LoadGenerator(workload, kLoadThreads).Run(), "quiet", "short");
    workload.kinds.push_back({ .name = "long",
                               .method = "GET",
                               .path = "/" + service + "/long/report?ms=800",
                               .weight = 1,
                               .timeout = std::chrono::milliseconds(20000) });
    workload.phases.front().name = "mixed";
    const LoadReport report = LoadGenerator(workload, kLoadThreads).Run();
    const LoadTally mixed = TallyOf(report, "mixed", "short");
    CountWrongResponses(report);
    Add("p99 of short work, quiet", "ms", ToMilliseconds(quiet.latencies.Quantile(0.99)));
    Add("p99 of short work behind long", "ms", ToMilliseconds(mixed.latencies.Quantile(0.99)));
    Add("p99 of short work behind long, ratio to quiet",
        "x",
        ToMilliseconds(mixed.latencies.Quantile(0.99)) /
          std::max(0.001, ToMilliseconds(quiet.latencies.Quantile(0.99))),
        kRatioThreshold);
  }

  void SetCostFactor(const std::string& aTarget, int aFactor)
  {
    Send(m_mesh.TargetOf(aTarget).address,
         { .method = "POST", .path = "/standin?factor=" + std::to_string(aFactor) });
  }

  void MeasureSlowedTarget()
  {
    const std::string service = m_mesh.Options().services.front();
    Workload workload = NewWorkload();
    workload.kinds = { { .name = "call", .method = "GET", .path = "/" + service + "/item" } };
    workload.phases = { { .name = "quiet", .duration = m_length, .callsPerSecond = Capacity() / 4 } };
    const LoadTally quiet = TallyOf(LoadGenerator(workload, kLoadThreads).Run(), "quiet", "call");
    std::string slowed;
    for (const std::string& target : m_mesh.Targets()) {
      slowed = m_mesh.TargetOf(target).service == service ? target : slowed;
    }
    SetCostFactor(slowed, kSlowdownFactor);
    workload.phases.front().name = "slowed";
    const LoadTally tally = TallyOf(LoadGenerator(workload, kLoadThreads).Run(), "slowed", "call");
    SetCostFactor(slowed, 1);
    Add("p99 with 1 of 4 targets slowed", "ms", ToMilliseconds(tally.latencies.Quantile(0.99)));
    Add("p99.9 with 1 of 4 targets slowed", "ms", ToMilliseconds(tally.latencies.Quantile(0.999)));
    Add("p99 with 1 of 4 targets slowed, ratio to quiet",
        "x",
        ToMilliseconds(tally.latencies.Quantile(0.99)) /
          std::max(0.001, ToMilliseconds(quiet.latencies.Quantile(0.99))),
        kRatioThreshold);
  }

  void MeasureOverload()
  {
    const std::string service = m_mesh.Options().services[3];
    // Expensive calls, so that the slots limit the rate and not the machine that runs all processes.
    const int64_t cost = 100;
    const int64_t capacity = Capacity() * m_mesh.Options().callCost.count() / cost;
    Workload workload = NewWorkload();
    workload.kinds = { { .name = "call",
                         .method = "GET",
                         .path = "/" + service + "/item?ms=" + std::to_string(cost),
                         .timeout = std::chrono::milliseconds(1000) } };
    workload.phases = {
      { .name = "1 before", .duration = m_length, .callsPerSecond = capacity / 2 },
      { .name = "2 crest", .duration = m_length, .callsPerSecond = capacity * kOverloadFactor },
      { .name = "3 after", .duration = m_length, .callsPerSecond = capacity / 2 }
    };
    const LoadReport report = LoadGenerator(workload, kLoadThreads).Run();
    const LoadTally crest = TallyOf(report, "2 crest", "call");
    const LoadTally before = TallyOf(report, "1 before", "call");
    const LoadTally after = TallyOf(report, "3 after", "call");
    const double possible = static_cast<double>(capacity) * std::chrono::duration<double>(m_length).count();
    CountWrongResponses(report);
    Add("goodput at the crest of 5x capacity",
        "of 1",
        static_cast<double>(crest.complete) / possible,
        kGoodputThreshold,
        false);
    Add("refused as not run at the crest",
        "of 1",
        static_cast<double>(crest.notRun) / static_cast<double>(crest.offered));
    Add("unknown or broken at the crest",
        "of 1",
        static_cast<double>(crest.unknown + crest.broken) / static_cast<double>(crest.offered));
    Add("p99 at the crest", "ms", ToMilliseconds(crest.latencies.Quantile(0.99)));
    Add("p99 before the crest", "ms", ToMilliseconds(before.latencies.Quantile(0.99)));
    Add("p99 after the crest", "ms", ToMilliseconds(after.latencies.Quantile(0.99)));
  }

  const std::string m_user;
  const std::string m_policy;
  const Milliseconds m_length;
  Mesh m_mesh;
  uint64_t m_wrongResponses = 0;
  double m_idleBytesPerMs = 0;
  std::vector<MeasureRow> m_rows;
};

static void
Merge(std::vector<MeasureRow>& aAll, const std::vector<MeasureRow>& aNew)
{
  for (const MeasureRow& row : aNew) {
    const auto known = std::find_if(aAll.begin(), aAll.end(), [&](const MeasureRow& aKnown) {
      return aKnown.user == row.user && aKnown.measure == row.measure && aKnown.policy == row.policy;
    });
    if (known == aAll.end()) {
      aAll.push_back(row);
    } else {
      known->values.insert(known->values.end(), row.values.begin(), row.values.end());
    }
  }
}

static std::string
DescribeMachine()
{
  double loads[1] = { 0 };
  ::getloadavg(loads, 1);
  return std::to_string(std::thread::hardware_concurrency()) +
         " cores for everything, load average at the end " + std::to_string(loads[0]);
}

int
RunMeasure(const MeasureOptions& aOptions)
{
  std::vector<MeasureRow> rows;
  for (int repetition = 0; repetition < aOptions.repetitions; ++repetition) {
    for (const std::string user : { "pettigrew", "brianza" }) {
      for (const char* policy : kPolicies) {
        if (aOptions.users != "both" && aOptions.users != user) {
          continue;
        }
        PolicyBenchmark bench(user, policy, aOptions.length);
        if (!bench.Start()) {
          std::cerr << user << " with " << policy << " didn't start; see the logs under run/\n";
          return 1;
        }
        Merge(rows, bench.Run(policy == std::string(kPolicies[0])));
        std::cerr << "measured " << user << " with " << policy << std::endl;
      }
    }
  }
  std::stable_sort(rows.begin(), rows.end(), [](const MeasureRow& aLeft, const MeasureRow& aRight) {
    return std::tie(aLeft.user, aLeft.measure) < std::tie(aRight.user, aRight.measure);
  });
  std::filesystem::create_directories(aOptions.output);
  std::ofstream(aOptions.output + "/report.html") << ToHtml(rows, DescribeMachine());
  std::ofstream(aOptions.output + "/report.json") << ToJson(rows);
  std::cout << ToText(rows) << DescribeMachine() << "\nwritten to " << aOptions.output << "/report.html\n";
  return 0;
}

} // namespace mimosarun
