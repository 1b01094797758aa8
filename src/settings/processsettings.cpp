#include "settings/processsettings.h"

#include "common/file.h"
#include "settings/jsonreader.h"

#include <set>

namespace mimosarun {

static constexpr size_t kSettingsLimitBytes = 1024 * 1024;
static constexpr size_t kMaximumReplicas = 7;
static constexpr std::chrono::milliseconds kShortestInterval{ 20 };
static constexpr std::chrono::milliseconds kLongestInterval{ 600000 };

static Address
ReadAddress(JsonReader& aReader, const std::string& aKey, Problems& aProblems)
{
  const std::string text = aReader.Text(aKey);
  if (text.empty()) {
    return {};
  }
  const Result<Address> address = ParseAddress(text);
  if (!address) {
    aProblems.Add(aReader.PathOf(aKey), address.error().message);
    return {};
  }
  return address.value();
}

static void
ReadReplicas(JsonReader& aReader, ProcessSettings& aSettings, Problems& aProblems)
{
  aReader.ForEachElement("replicas", [&](JsonReader& aReplica) {
    aSettings.replicas.push_back({ .name = aReplica.Text("name"),
                                   .region = aReplica.Text("region"),
                                   .failureDomain = aReplica.Text("failureDomain"),
                                   .address = ReadAddress(aReplica, "address", aProblems) });
  });
  if (aSettings.replicas.empty() || aSettings.replicas.size() > kMaximumReplicas) {
    aProblems.Add(aReader.PathOf("replicas"), "must list 1 to 7 control replicas");
  }
}

static void
CollectRegions(ProcessSettings& aSettings)
{
  std::set<std::string> regions{ aSettings.region };
  for (const ReplicaSettings& replica : aSettings.replicas) {
    regions.insert(replica.region);
  }
  aSettings.regions.assign(regions.begin(), regions.end());
}

static void
ReadOverrides(JsonReader& aReader, ProcessSettings& aSettings, Problems& aProblems)
{
  aReader.ForEachElement("addressMap", [&](JsonReader& aOverride) {
    aSettings.addressOverrides.push_back(
      { .peer = aOverride.Text("peer"), .address = ReadAddress(aOverride, "address", aProblems) });
  });
}

static void
ReadNodeSettings(JsonReader& aReader, ProcessSettings& aSettings, Problems& aProblems)
{
  aSettings.callerAddress = ReadAddress(aReader, "callerAddress", aProblems);
  aSettings.gateAddress = ReadAddress(aReader, "gateAddress", aProblems);
  aSettings.targetAddress = ReadAddress(aReader, "targetAddress", aProblems);
  for (const std::string& text : aReader.Texts("seeds")) {
    const Result<Address> address = ParseAddress(text);
    if (address) {
      aSettings.seeds.push_back(address.value());
    } else {
      aProblems.Add(aReader.PathOf("seeds"), address.error().message);
    }
  }
  aSettings.drainTimeout =
    aReader.Milliseconds("drainMs", kShortestInterval, kLongestInterval, aSettings.drainTimeout);
}

static void
ReadControlSettings(JsonReader& aReader, ProcessSettings& aSettings, Problems& aProblems)
{
  aSettings.dataFolder = aReader.Text("dataFolder");
  aSettings.formGroups = aReader.Flag("formGroups", false);
  aSettings.voterCount = static_cast<int>(aReader.Integer("voters", 0, kMaximumReplicas, 0));
  aSettings.heartbeatInterval =
    aReader.Milliseconds("heartbeatMs", kShortestInterval, kLongestInterval, aSettings.heartbeatInterval);
  aSettings.electionTimeout =
    aReader.Milliseconds("electionTimeoutMs", kShortestInterval, kLongestInterval, aSettings.electionTimeout);
  if (aSettings.electionTimeout < 3 * aSettings.heartbeatInterval) {
    aProblems.Add(aReader.PathOf("electionTimeoutMs"), "must be at least three times heartbeatMs");
  }
}

Result<ProcessSettings>
ParseSettings(const std::string& aText, const std::string& aSource)
{
  MIMOSARUN_TRY(const nlohmann::json document, ParseJson(aText, aSource));
  Problems problems;
  JsonReader reader(document, aSource, problems);
  ProcessSettings settings;
  const std::string role = reader.OneOf("role", { "node", "control" }, "");
  settings.role = role == "control" ? ProcessRole::Control : ProcessRole::Node;
  settings.name = reader.Text("name");
  settings.region = reader.Text("region");
  settings.failureDomain = reader.Text("failureDomain");
  settings.logFile = reader.Text("logFile", "");
  settings.peerAddress = ReadAddress(reader, "peerAddress", problems);
  settings.operatorAddress = ReadAddress(reader, "operatorAddress", problems);
  ReadReplicas(reader, settings, problems);
  CollectRegions(settings);
  settings.discoverReplicas = reader.Flag("discoverReplicas", false);
  ReadOverrides(reader, settings, problems);
  settings.revocation.isStrict = reader.Flag("strictRevocation", false);
  settings.revocation.bound =
    reader.Milliseconds("revocationBoundMs", kShortestInterval, kLongestInterval, settings.revocation.bound);
  if (settings.role == ProcessRole::Node) {
    ReadNodeSettings(reader, settings, problems);
  } else {
    ReadControlSettings(reader, settings, problems);
  }
  reader.ReportUnknownKeys();
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return settings;
}

Result<ProcessSettings>
LoadSettings(const std::string& aPath)
{
  MIMOSARUN_TRY(const std::string text, ReadFile(aPath, kSettingsLimitBytes));
  return ParseSettings(text, aPath);
}

} // namespace mimosarun
