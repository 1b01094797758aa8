#include "platform/platformmesh.h"

#include "harness/mesh.h"
#include "harness/rawserver.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace mimosarun {

static constexpr size_t kReplicas = 3;
static constexpr uint16_t kInbound = 24000;
static constexpr uint16_t kOutbound = 24001;
static constexpr uint16_t kReady = 24002;
static constexpr uint16_t kControl = 24003;
static constexpr uint16_t kTarget = 24004;
static constexpr uint16_t kPeer = 24010;

std::string
SendRawRequest(const Address& aTo, const std::string& aRequest)
{
  RawConnection connection(aTo);
  connection.Send(aRequest);
  std::string response = connection.ReceiveUntil("\r\n\r\n", std::chrono::seconds(4));
  response += connection.Receive(std::chrono::milliseconds(30));
  return response;
}

static int
StatusOf(const std::string& aResponse)
{
  return aResponse.size() < 12 ? 0 : std::atoi(aResponse.c_str() + 9);
}

PlatformTarget::PlatformTarget(Options aOptions)
  : m_options(std::move(aOptions))
{
  m_server = HttpServer::Start({ .address = m_options.address,
                                 .handler = [this](const ExchangePointer& aExchange) { Handle(aExchange); } })
               .value();
}

PlatformTarget::~PlatformTarget() = default;

int
PlatformTarget::SendHeartbeat(const std::string& aState)
{
  std::string body;
  {
    const std::lock_guard lock(m_mutex);
    body = "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.address.Text() +
           "\",\"zone\":\"north\",\"version\":\"" + m_options.version + "\",\"capacity\":4,\"state\":\"" +
           aState + "\",\"warmupLeft\":\"0ms\",\"born\":" + std::to_string(m_startedAtMillis) +
           ",\"seq\":" + std::to_string(++m_sequence) + "}";
  }
  return StatusOf(SendRawRequest(m_options.heartbeatAddress,
                                 "POST /-/Instances.Heartbeat/" + m_options.id +
                                   " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body));
}

void
PlatformTarget::BeginIncarnation()
{
  const std::lock_guard lock(m_mutex);
  ++m_startedAtMillis;
  m_sequence = 0;
}

void
PlatformTarget::BeginVersion(const std::string& aVersion)
{
  BeginIncarnation();
  const std::lock_guard lock(m_mutex);
  m_options.version = aVersion;
}

std::string
PlatformTarget::Version() const
{
  const std::lock_guard lock(m_mutex);
  return m_options.version;
}

std::map<std::string, int>
PlatformTarget::RunCounts() const
{
  const std::lock_guard lock(m_mutex);
  return m_runCounts;
}

HttpHeaders
PlatformTarget::LastHeaders() const
{
  const std::lock_guard lock(m_mutex);
  return m_lastHeaders;
}

void
PlatformTarget::Handle(const ExchangePointer& aExchange)
{
  const HttpHeaders& headers = aExchange->Request().headers;
  const std::string id = FindHeader(headers, "Request-Id");
  if (aExchange->Request().path == "/healthz") {
    aExchange->Respond({ .status = 200, .headers = { { .name = "Instance-Id", .value = m_options.id } } });
    return;
  }
  const bool isValid = FindHeader(headers, "Expected-Instance") == m_options.id &&
                       !FindHeader(headers, "Timeout-Ms").empty() &&
                       !FindHeader(headers, "Caller-Service").empty() && !HasHeader(headers, "M-Q");
  m_invalidRequestCount += isValid ? 0 : 1;
  if (m_shedding) {
    aExchange->Respond(
      { .status = 503,
        .headers = { { .name = "Request-Id", .value = id }, { .name = "Not-Executed", .value = "1" } } });
    return;
  }
  HttpResponse response{ .status = 200,
                         .headers = { { .name = "Request-Id", .value = id },
                                      { .name = "Response-Signature", .value = "signed" } },
                         .body = m_options.id };
  std::chrono::milliseconds workTime{ 0 };
  {
    const std::lock_guard lock(m_mutex);
    ++m_runCounts[id];
    m_lastHeaders = headers;
    const Deadline now = SteadyClock::now();
    const bool isBad = m_options.bad.IsBad(aExchange->Request().path, m_runningRequests++, now);
    m_runs.push_back({ .at = now, .isBad = isBad });
    response.headers.insert(response.headers.end(), m_responseHeaders.begin(), m_responseHeaders.end());
    workTime = m_options.workTime * (isBad ? std::max(1, m_options.bad.slowFactor) : 1);
    response.status = isBad && m_options.bad.slowFactor == 0 ? 500 : 200;
  }
  aExchange->Loop().RunAt(SteadyClock::now() + workTime, [this, aExchange, response] {
    {
      const std::lock_guard lock(m_mutex);
      --m_runningRequests;
    }
    aExchange->Respond(response);
  });
}

std::vector<TargetRun>
PlatformTarget::Runs() const
{
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

void
PlatformTarget::SetBadBehaviour(const BadBehaviour& aBad)
{
  const std::lock_guard lock(m_mutex);
  m_options.bad = aBad;
}

void
PlatformTarget::SetWorkTime(std::chrono::milliseconds aTime)
{
  const std::lock_guard lock(m_mutex);
  m_options.workTime = aTime;
}

void
PlatformTarget::SetResponseHeaders(HttpHeaders aHeaders)
{
  const std::lock_guard lock(m_mutex);
  m_responseHeaders = std::move(aHeaders);
}

PlatformMesh::PlatformMesh(const std::string& aName, PlatformMeshOptions aOptions)
  : m_folder(std::filesystem::absolute("run/" + aName).string())
  , m_bounds(std::move(aOptions.bounds))
  , m_nodes(std::move(aOptions.nodes))
{
  std::filesystem::remove_all(m_folder);
  std::filesystem::create_directories(m_folder);
  replicas.resize(kReplicas);
  nodes.resize(m_nodes.size());
}

std::string
PlatformMesh::Host(size_t aVm) const
{
  const int pid = ::getpid();
  return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(20 + aVm);
}

void
PlatformMesh::WriteSettings(const std::string& aPath, const std::string& aText) const
{
  std::ofstream(aPath) << aText;
}

std::string
PlatformMesh::CommonSettings(size_t aVm) const
{
  std::string seeds;
  for (size_t i = 0; i < kReplicas && m_areReplicasListed; ++i) {
    seeds += (i == 0 ? "\"" : ",\"") + Host(i) + ":" + std::to_string(kControl) + "\"";
  }
  return "\"ip\":\"" + Host(aVm) + "\",\"zone\":\"north\",\"region\":\"east\",\"portRange\":[" +
         std::to_string(kPeer) + "," + std::to_string(kPeer + 5) + "],\"seeds\":[" + seeds +
         "],\"heartbeat\":\"1500ms\",\"bounds\":[\"grace=6s\"" + m_bounds + "],\"new\":true";
}

size_t
PlatformMesh::VmOfReplica(size_t aIndex) const
{
  return aIndex < kReplicas ? aIndex : m_nodes.size() + aIndex;
}

std::string
PlatformMesh::ReplicaPath(size_t aIndex) const
{
  return m_folder + "/control" + std::to_string(aIndex);
}

std::string
PlatformMesh::DataFolder(size_t aIndex) const
{
  return ReplicaPath(aIndex);
}

std::string
PlatformMesh::ReplicaOutput(size_t aIndex) const
{
  std::ifstream log(ReplicaPath(aIndex) + ".out");
  return { std::istreambuf_iterator<char>(log), {} };
}

std::optional<size_t>
PlatformMesh::FindLeader() const
{
  for (size_t i = 0; i < replicas.size(); ++i) {
    const std::string output = ReplicaOutput(i);
    const size_t elected = output.rfind("leader-elected");
    const size_t ended = output.rfind("leader-stepped-down");
    if (elected != std::string::npos && (ended == std::string::npos || ended < elected)) {
      return i;
    }
  }
  return std::nullopt;
}

void
PlatformMesh::StartReplica(size_t aIndex)
{
  replicas.resize(std::max(replicas.size(), aIndex + 1));
  const size_t vm = VmOfReplica(aIndex);
  const std::string path = ReplicaPath(aIndex);
  WriteSettings(path + ".json",
                "{\"nodeId\":\"core-" + std::to_string(aIndex) +
                  "\",\"serves\":[\"control\"],\"listenAddrs\":{\"control\":\"" + Host(vm) + ":" +
                  std::to_string(kControl) + "\"},\"bootstrap\":" + (m_isFirstStart ? "true" : "false") +
                  ",\"dataDir\":\"" + path + "\",\"faultTolerance\":{\"machines\":1}," + CommonSettings(vm) +
                  "}");
  replicas[aIndex] = Process::Start({ BuildFolder() + "/src/mimosarund", "--platform" },
                                    path + ".out",
                                    { "MIMOSARUN_SETTINGS=" + path + ".json" });
}

std::string
PlatformMesh::NodePath(size_t aIndex) const
{
  return m_folder + "/node" + std::to_string(aIndex);
}

void
PlatformMesh::WriteNodeSettings(size_t aIndex) const
{
  const size_t vm = kReplicas + aIndex;
  const std::string host = Host(vm) + ":";
  WriteSettings(NodePath(aIndex) + ".json",
                "{\"nodeId\":\"side-" + std::to_string(aIndex) +
                  "\",\"serves\":[\"sidecar\"],\"listenAddrs\":{\"inbound\":\"" + host +
                  std::to_string(kInbound) + "\",\"outbound\":\"" + host + std::to_string(kOutbound) +
                  "\",\"ready\":\"" + host + std::to_string(kReady) + "\",\"control\":\"" + host +
                  std::to_string(kControl) + "\"},\"bootstrap\":false,\"dataDir\":null,\"appAddr\":\"" +
                  host + std::to_string(kTarget) + "\",\"service\":\"" + m_nodes[aIndex].service + "\"," +
                  CommonSettings(vm) + "}");
}

void
PlatformMesh::StartNode(size_t aIndex)
{
  WriteNodeSettings(aIndex);
  const std::string path = NodePath(aIndex);
  nodes[aIndex] = Process::Start({ BuildFolder() + "/src/mimosarund", "--platform" },
                                 path + ".out",
                                 { "MIMOSARUN_SETTINGS=" + path + ".json" });
}

std::string
PlatformMesh::Document(int aVersion, const std::string& aKind)
{
  return "{\"version\":\"r" + std::to_string(aVersion) +
         "\",\"routes\":[{\"name\":\"read\",\"host\":\"x\",\"pathPrefix\":\"/read/\",\"kind\":\"safe\","
         "\"timeout\":\"2s\",\"targetLatency\":\"1s\",\"priority\":2,\"service\":\"books\",\"maxAttempts\":2}"
         ","
         "{\"name\":\"book\",\"host\":\"x\",\"pathPrefix\":\"/book/\",\"kind\":\"" +
         aKind +
         "\",\"timeout\":\"2s\",\"targetLatency\":\"1s\",\"priority\":1,\"service\":\"desk\",\"maxAttempts\":"
         "2}],"
         "\"services\":[{\"name\":\"books\",\"healthPath\":\"/healthz\",\"maxConnections\":20},"
         "{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":20}]}";
}

int
PlatformMesh::ReplaceConfiguration(const std::string& aBase, const std::string& aDocument, size_t aReplica)
{
  const Address control{ .host = Host(VmOfReplica(aReplica)), .port = kControl };
  return StatusOf(SendRawRequest(control,
                                 "POST /-/Config.Replace HTTP/1.1\r\nHost: x\r\nBase-Version: " + aBase +
                                   "\r\nContent-Length: " + std::to_string(aDocument.size()) + "\r\n\r\n" +
                                   aDocument));
}

std::string
PlatformMesh::ReadConfiguration(size_t aReplica)
{
  const Address control{ .host = Host(VmOfReplica(aReplica)), .port = kControl };
  return SendRawRequest(control, "GET /-/Config.Read HTTP/1.1\r\nHost: x\r\n\r\n");
}

int
PlatformMesh::StartRollout(const std::string& aService,
                           const std::string& aVersion,
                           std::chrono::milliseconds aDuration,
                           size_t aReplica)
{
  const Address control{ .host = Host(VmOfReplica(aReplica)), .port = kControl };
  const std::string body = "{\"service\":\"" + aService + "\",\"targetVersion\":\"" + aVersion +
                           "\",\"duration\":\"" + std::to_string(aDuration.count()) + "ms\"}";
  return StatusOf(SendRawRequest(control,
                                 "POST /-/Rollouts.Start HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body));
}

std::string
PlatformMesh::RolloutState(const std::string& aService, size_t aReplica)
{
  const Address control{ .host = Host(VmOfReplica(aReplica)), .port = kControl };
  const std::string response =
    SendRawRequest(control, "GET /-/Rollouts.Read/" + aService + " HTTP/1.1\r\nHost: x\r\n\r\n");
  for (const char* state : { "running", "completed", "rolled_back" }) {
    if (StatusOf(response) == 200 && response.find(std::string("\"") + state + "\"") != std::string::npos) {
      return state;
    }
  }
  return {};
}

Address
PlatformMesh::ControlAddress(size_t aReplica) const
{
  return { .host = Host(VmOfReplica(aReplica)), .port = kControl };
}

Address
PlatformMesh::EntryAddress(size_t aNode) const
{
  return { .host = Host(kReplicas + aNode), .port = kOutbound };
}

Address
PlatformMesh::GateAddress(size_t aNode) const
{
  return { .host = Host(kReplicas + aNode), .port = kInbound };
}

Address
PlatformMesh::TargetAddress(size_t aNode) const
{
  return { .host = Host(kReplicas + aNode), .port = kTarget };
}

std::string
PlatformMesh::Call(size_t aNode, const std::string& aPath, const std::string& aId)
{
  return CallWithHeaders(aNode, aPath, aId, "");
}

std::string
PlatformMesh::CallWithHeaders(size_t aNode,
                              const std::string& aPath,
                              const std::string& aId,
                              const std::string& aHeaders)
{
  return SendRawRequest(
    EntryAddress(aNode),
    "POST " + aPath + " HTTP/1.1\r\nHost: x\r\n" + aHeaders + "Request-Id: " + aId +
      "\r\nTimeout-Ms: 2000\r\nCaller-Service: forged\r\nExpected-Instance: forged\r\nM-Q: forged"
      "\r\nContent-Length: 4\r\n\r\nbody");
}

bool
PlatformMesh::IsReady(size_t aNode)
{
  const Address ready{ .host = Host(kReplicas + aNode), .port = kReady };
  return StatusOf(SendRawRequest(ready, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) == 200;
}

bool
PlatformMesh::Start()
{
  for (size_t i = 0; i < kReplicas; ++i) {
    StartReplica(i);
  }
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    StartNode(i);
    const std::string number = i < 2 ? "" : "-" + std::to_string(i);
    targets.push_back(std::make_unique<PlatformTarget>(
      PlatformTarget::Options{ .id = "i-" + m_nodes[i].service + number,
                               .service = m_nodes[i].service,
                               .address = TargetAddress(i),
                               .heartbeatAddress = { .host = Host(kReplicas + i), .port = kControl },
                               .version = m_nodes[i].version }));
  }
  m_isFirstStart = false;
  const auto startTimeout = std::chrono::seconds(15);
  return WaitUntil(startTimeout, [this] { return ReplaceConfiguration("0", Document(3)) == 200; }) &&
         WaitUntil(startTimeout, [this] { return IsReady(0) && IsReady(1); }) &&
         WaitUntil(startTimeout, [this] {
           return std::all_of(targets.begin(),
                              targets.end(),
                              [](const auto& aTarget) { return aTarget->SendHeartbeat("ready") == 200; }) &&
                  Call(0, "/book/1", "warm").starts_with("HTTP/1.1 200") &&
                  Call(1, "/read/1", "warm").starts_with("HTTP/1.1 200");
         });
}

} // namespace mimosarun
