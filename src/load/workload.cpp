#include "load/workload.h"

#include "settings/jsonreader.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kMinDuration{ 1 };
static constexpr std::chrono::milliseconds kMaxDuration{ 3600000 };
static constexpr int64_t kMaxCallsPerSecond = 200000;
static constexpr int64_t kMaxWeight = 1000000;

static void
ReadEntries(JsonReader& aReader, Workload& aWorkload, Problems& aProblems)
{
  for (const std::string& text : aReader.Texts("entries")) {
    const Result<Address> address = ParseAddress(text);
    if (address) {
      aWorkload.entries.push_back(address.value());
    } else {
      aProblems.Add(aReader.PathOf("entries"), address.error().message);
    }
  }
}

Result<Workload>
ParseWorkload(const std::string& aText, const std::string& aSource)
{
  MIMOSARUN_TRY(const nlohmann::json document, ParseJson(aText, aSource));
  Problems problems;
  JsonReader reader(document, aSource, problems);
  Workload workload;
  workload.seed = static_cast<uint64_t>(reader.Integer("seed", 0, INT64_MAX, 1));
  ReadEntries(reader, workload, problems);
  reader.ForEachElement("requests", [&](JsonReader& aKind) {
    workload.kinds.push_back({ .name = aKind.Text("name"),
                               .method = aKind.Text("method", "GET"),
                               .path = aKind.Text("path"),
                               .weight = aKind.Integer("weight", 1, kMaxWeight, 1),
                               .body = aKind.Text("body", ""),
                               .keyed = aKind.Flag("keyed", false),
                               .timeout = aKind.Milliseconds(
                                 "timeoutMs", kMinDuration, kMaxDuration, std::chrono::milliseconds(2000)) });
  });
  reader.ForEachElement("phases", [&](JsonReader& aPhase) {
    workload.phases.push_back({ .name = aPhase.Text("name"),
                                .duration = aPhase.Milliseconds(
                                  "lengthMs", kMinDuration, kMaxDuration, std::chrono::milliseconds(1000)),
                                .callsPerSecond = aPhase.Integer("rate", 1, kMaxCallsPerSecond, 1) });
  });
  reader.ReportUnknownKeys();
  if (workload.entries.empty() || workload.kinds.empty() || workload.phases.empty()) {
    problems.Add(aSource, "needs at least one of entries, requests and phases");
  }
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return workload;
}

} // namespace mimosarun
