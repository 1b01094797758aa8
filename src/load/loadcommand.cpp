#include "load/loadcommand.h"

#include "common/file.h"

#include <cstdio>
#include <iostream>

namespace mimosarun {

static constexpr size_t kPlanLimitBytes = 1024UL * 1024;
static constexpr unsigned int kThreads = 2;
static constexpr int kExitInvalidInput = 2;
static constexpr int kExitWrongResponses = 1;

static double
Milliseconds(std::chrono::microseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

std::string
ToTable(const LoadReport& aReport)
{
  std::string text = "phase            kind             offered complete  not-run  unknown   broken    wrong "
                     "  p50ms   p99ms p99.9ms\n";
  for (const auto& [key, tally] : aReport) {
    char line[256];
    std::snprintf(line,
                  sizeof line,
                  "%-16s %-16s %7lu %8lu %8lu %8lu %8lu %8lu %7.2f %7.2f %7.2f\n",
                  key.phase.c_str(),
                  key.kind.c_str(),
                  tally.offered,
                  tally.complete,
                  tally.notRun,
                  tally.unknown,
                  tally.broken,
                  tally.wrong,
                  Milliseconds(tally.latencies.Quantile(0.5)),
                  Milliseconds(tally.latencies.Quantile(0.99)),
                  Milliseconds(tally.latencies.Quantile(0.999)));
    text += line;
    for (const auto& [reason, count] : tally.reasons) {
      text += "    " + std::to_string(count) + " refused: " + reason + "\n";
    }
  }
  return text;
}

int
RunLoadCommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != 2) {
    std::cerr << "use: mimosarun load PLAN\n";
    return kExitInvalidInput;
  }
  const Result<std::string> text = ReadFile(aArguments[1], kPlanLimitBytes);
  const Result<Workload> workload = text ? ParseWorkload(text.value(), aArguments[1]) : text.as_failure();
  if (!workload) {
    std::cerr << workload.error().message << "\n";
    return kExitInvalidInput;
  }
  const LoadReport report = LoadGenerator(workload.value(), kThreads).Run();
  std::cout << ToTable(report);
  uint64_t wrongResponses = 0;
  for (const auto& [key, tally] : report) {
    wrongResponses += tally.wrong;
  }
  return wrongResponses == 0 ? 0 : kExitWrongResponses;
}

} // namespace mimosarun
