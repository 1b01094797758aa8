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
static constexpr size_t kNodes = 2;
static constexpr uint16_t kInbound = 24000;
static constexpr uint16_t kOutbound = 24001;
static constexpr uint16_t kReady = 24002;
static constexpr uint16_t kControl = 24003;
static constexpr uint16_t kTarget = 24004;
static constexpr uint16_t kPeer = 24010;
static constexpr const char* kServices[kNodes] = { "books", "desk" };

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
  const std::string body =
    "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.address.Text() +
    "\",\"zone\":\"north\",\"version\":\"v1\",\"capacity\":4," + "\"state\":\"" + aState +
    "\",\"warmupLeft\":\"0ms\",\"born\":" + std::to_string(m_startedAtMillis) +
    ",\"seq\":" + std::to_string(++m_sequence) + "}";
  return StatusOf(SendRawRequest(m_options.heartbeatAddress,
                                 "POST /-/Instances.Heartbeat/" + m_options.id +
                                   " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body));
}

void
PlatformTarget::BeginIncarnation()
{
  ++m_startedAtMillis;
  m_sequence = 0;
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
    response.headers.insert(response.headers.end(), m_responseHeaders.begin(), m_responseHeaders.end());
    workTime = m_options.workTime;
  }
  aExchange->Loop().RunAt(SteadyClock::now() + workTime,
                          [aExchange, response] { aExchange->Respond(response); });
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

PlatformMesh::PlatformMesh(const std::string& aName, std::string aBounds)
  : m_folder(std::filesystem::absolute("run/" + aName).string())
  , m_bounds(std::move(aBounds))
{
  std::filesystem::remove_all(m_folder);
  std::filesystem::create_directories(m_folder);
  replicas.resize(kReplicas);
  nodes.resize(kNodes);
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
  for (size_t i = 0; i < kReplicas; ++i) {
    seeds += (i == 0 ? "\"" : ",\"") + Host(i) + ":" + std::to_string(kControl) + "\"";
  }
  return "\"ip\":\"" + Host(aVm) + "\",\"zone\":\"north\",\"region\":\"east\",\"portRange\":[" +
         std::to_string(kPeer) + "," + std::to_string(kPeer + 5) + "],\"seeds\":[" + seeds +
         "],\"heartbeat\":\"1500ms\",\"bounds\":[\"grace=6s\"" + m_bounds + "],\"new\":true";
}

size_t
PlatformMesh::VmOfReplica(size_t aIndex)
{
  return aIndex < kReplicas ? aIndex : kNodes + aIndex;
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

void
PlatformMesh::StartNode(size_t aIndex)
{
  const size_t vm = kReplicas + aIndex;
  const std::string host = Host(vm) + ":";
  const std::string path = m_folder + "/node" + std::to_string(aIndex);
  WriteSettings(path + ".json",
                "{\"nodeId\":\"side-" + std::to_string(aIndex) +
                  "\",\"serves\":[\"sidecar\"],\"listenAddrs\":{\"inbound\":\"" + host +
                  std::to_string(kInbound) + "\",\"outbound\":\"" + host + std::to_string(kOutbound) +
                  "\",\"ready\":\"" + host + std::to_string(kReady) + "\",\"control\":\"" + host +
                  std::to_string(kControl) + "\"},\"bootstrap\":false,\"dataDir\":null,\"appAddr\":\"" +
                  host + std::to_string(kTarget) + "\",\"service\":\"" + kServices[aIndex] + "\"," +
                  CommonSettings(vm) + "}");
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
  for (size_t i = 0; i < kNodes; ++i) {
    StartNode(i);
    targets.push_back(std::make_unique<PlatformTarget>(
      PlatformTarget::Options{ .id = std::string("i-") + kServices[i],
                               .service = kServices[i],
                               .address = TargetAddress(i),
                               .heartbeatAddress = { .host = Host(kReplicas + i), .port = kControl } }));
  }
  m_isFirstStart = false;
  const auto startTimeout = std::chrono::seconds(15);
  return WaitUntil(startTimeout, [this] { return ReplaceConfiguration("0", Document(3)) == 200; }) &&
         WaitUntil(startTimeout, [this] { return IsReady(0) && IsReady(1); }) &&
         WaitUntil(startTimeout, [this] {
           return targets[0]->SendHeartbeat("ready") == 200 && targets[1]->SendHeartbeat("ready") == 200 &&
                  Call(0, "/book/1", "warm").starts_with("HTTP/1.1 200") &&
                  Call(1, "/read/1", "warm").starts_with("HTTP/1.1 200");
         });
}

} // namespace mimosarun
