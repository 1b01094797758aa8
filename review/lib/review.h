#pragma once

// Parts shared by the scripts of the review: processes of the product, stand-ins for clients, instances and
// the platform, and the record of a run. Plain sockets and threads, no library beside the C++ standard
// library.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Exit statuses of a script. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** Ends the program without destructors, since threads of stand-ins may still wait for their peers. */
[[noreturn]] inline void
End(int aStatus)
{
  std::fflush(nullptr);
  std::_Exit(aStatus);
}

inline void
Sleep(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

// --- record ----------------------------------------------------------------------------------------------

/** Writes what was sent, answered and run, each line with the seconds since the start. Thread-safe. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_stream(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Seconds());
    m_stream << time << aText << "\n" << std::flush;
    std::cout << time << aText << "\n" << std::flush;
  }

  double Seconds() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }

private:
  std::ofstream m_stream;
  std::mutex m_mutex;
  Clock::time_point m_start = Clock::now();
};

// --- processes -------------------------------------------------------------------------------------------

/** One process of the product. It is killed with its owner. */
class Process
{
public:
  Process() = default;
  Process(Process&& aOther) noexcept { std::swap(m_pid, aOther.m_pid); }
  Process& operator=(Process&& aOther) noexcept
  {
    std::swap(m_pid, aOther.m_pid);
    return *this;
  }
  ~Process() { Kill(); }

  /** Starts the command of the deploy file with a settings file; the output goes to a file. */
  static Process Start(const std::string& aSettings, const std::string& aOutput)
  {
    Process process;
    process.m_pid = ::fork();
    if (process.m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = ::open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(output, 1);
      ::dup2(output, 2);
      const std::string variable = "MIMOSARUN_SETTINGS=" + aSettings;
      const char* arguments[] = { "target/src/mimosarund", "--platform", nullptr };
      const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr };
      ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
      ::_exit(127);
    }
    return process;
  }

  bool IsRunning()
  {
    if (m_pid <= 0) {
      return false;
    }
    if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = 0;
      return false;
    }
    return true;
  }

  void Signal(int aSignal)
  {
    if (m_pid > 0) {
      ::kill(m_pid, aSignal);
    }
  }

  void Kill()
  {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = 0;
    }
  }

  pid_t Id() const { return m_pid; }

  /** Returns the resident memory in megabytes, or 0 if the process has ended. */
  double ResidentMegabytes() const
  {
    std::ifstream stream("/proc/" + std::to_string(m_pid) + "/statm");
    double pages = 0;
    double resident = 0;
    stream >> pages >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  }

private:
  pid_t m_pid = 0;
};

// --- sockets and messages --------------------------------------------------------------------------------

struct Address
{
  std::string host;
  int port = 0;

  std::string Text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aAddress.port));
  ::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  return address;
}

inline int
Listen(const Address& aAddress)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string
Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

/** A request or a response. */
struct Message
{
  /** Whether the message arrived whole. */
  bool complete = false;
  /** First line, such as "GET /path HTTP/1.1". */
  std::string line;
  Headers headers;
  std::string body;

  int Status() const { return line.size() < 12 ? 0 : std::atoi(line.c_str() + 9); }
  std::string Word(int aIndex) const
  {
    std::istringstream words(line);
    std::string word;
    for (int i = 0; i <= aIndex; ++i) {
      words >> word;
    }
    return word;
  }
};

/** A TCP connection that sends text and reads messages. */
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  bool Open(const Address& aAddress, milliseconds aTimeout)
  {
    Close();
    m_input.clear();
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = ToSocketAddress(aAddress);
    ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd waiting{ .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    int error = 0;
    socklen_t length = sizeof error;
    const bool ready = ::poll(&waiting, 1, static_cast<int>(aTimeout.count())) == 1;
    ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (!ready || error != 0) {
      Close();
      return false;
    }
    ::fcntl(m_descriptor, F_SETFL, ::fcntl(m_descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }

  bool IsOpen() const { return m_descriptor >= 0; }

  void Close()
  {
    if (m_descriptor >= 0) {
      ::close(m_descriptor);
      m_descriptor = -1;
    }
  }

  bool Send(const std::string& aText)
  {
    size_t sent = 0;
    while (sent < aText.size()) {
      const ssize_t length = ::send(m_descriptor, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (length <= 0) {
        return false;
      }
      sent += static_cast<size_t>(length);
    }
    return true;
  }

  /** Returns whether the peer has closed or reset the connection, without reading. */
  bool IsClosedByPeer() const
  {
    pollfd waiting{ .fd = m_descriptor, .events = POLLRDHUP, .revents = 0 };
    return ::poll(&waiting, 1, 0) == 1 && (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  /** Returns whether bytes or the end of the connection can be read before the time is over. */
  bool IsReadable(milliseconds aTimeout) const
  {
    pollfd waiting{ .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    return !m_input.empty() || ::poll(&waiting, 1, static_cast<int>(aTimeout.count())) == 1;
  }

  /** Reads one message; it isn't complete if the connection or the time ended first. */
  Message Read(milliseconds aTimeout)
  {
    const auto deadline = Clock::now() + aTimeout;
    Message message;
    size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(deadline)) {
        return message;
      }
    }
    std::istringstream head(m_input.substr(0, end + 2));
    m_input.erase(0, end + 4);
    std::getline(head, message.line);
    Trim(message.line);
    std::string line;
    while (std::getline(head, line)) {
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string value = line.substr(colon + 1);
        Trim(value);
        message.headers.emplace_back(line.substr(0, colon), value);
      }
    }
    const bool chunked = Find(message.headers, "Transfer-Encoding").find("chunked") != std::string::npos;
    message.complete = chunked ? ReadChunks(message, deadline) : ReadLength(message, deadline);
    return message;
  }

private:
  static void Trim(std::string& aText)
  {
    while (!aText.empty() && std::isspace(static_cast<unsigned char>(aText.back()))) {
      aText.pop_back();
    }
    aText.erase(0, aText.find_first_not_of(' '));
  }

  bool Receive(Clock::time_point aDeadline)
  {
    const auto left = std::chrono::duration_cast<milliseconds>(aDeadline - Clock::now()).count();
    pollfd waiting{ .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    if (left < 0 || m_descriptor < 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[65536];
    const ssize_t length = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (length <= 0) {
      return false;
    }
    m_input.append(bytes, static_cast<size_t>(length));
    return true;
  }

  bool ReadLength(Message& aMessage, Clock::time_point aDeadline)
  {
    const std::string text = Find(aMessage.headers, "Content-Length");
    const size_t length = text.empty() ? 0 : std::stoul(text);
    while (m_input.size() < length) {
      if (!Receive(aDeadline)) {
        return false;
      }
    }
    aMessage.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return true;
  }

  bool ReadChunks(Message& aMessage, Clock::time_point aDeadline)
  {
    while (true) {
      size_t end = 0;
      while ((end = m_input.find("\r\n")) == std::string::npos) {
        if (!Receive(aDeadline)) {
          return false;
        }
      }
      const size_t length = std::strtoul(m_input.c_str(), nullptr, 16);
      while (m_input.size() < end + 2 + length + 2) {
        if (!Receive(aDeadline)) {
          return false;
        }
      }
      aMessage.body += m_input.substr(end + 2, length);
      m_input.erase(0, end + 2 + length + 2);
      if (length == 0) {
        return true;
      }
    }
  }

  int m_descriptor = -1;
  std::string m_input;
};

/** Sends one request over a new connection. */
inline Message
Call(const Address& aAddress, const std::string& aRequest, milliseconds aTimeout = milliseconds(1000))
{
  Connection connection;
  if (!connection.Open(aAddress, aTimeout) || !connection.Send(aRequest)) {
    return {};
  }
  return connection.Read(aTimeout);
}

inline std::string
MakeRequest(const std::string& aLine, const Headers& aHeaders, const std::string& aBody = {})
{
  std::string text = aLine + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aLine.starts_with("POST")) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline std::string
MakeResponse(int aStatus, const Headers& aHeaders, const std::string& aBody = {})
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** Accepts connections and serves each one on its own thread. */
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  Server(const Address& aAddress, Handler aHandler)
    : m_descriptor(Listen(aAddress))
    , m_handler(std::move(aHandler))
    , m_thread([this] { Run(); })
  {
  }

  ~Server()
  {
    m_stop = true;
    m_thread.join();
    ::close(m_descriptor);
    // Threads of connections may still wait for their peers; the process ends soon after.
  }

  bool IsListening() const { return m_descriptor >= 0; }

private:
  void Run()
  {
    while (!m_stop) {
      pollfd waiting{ .fd = m_descriptor, .events = POLLIN, .revents = 0 };
      if (::poll(&waiting, 1, 50) != 1) {
        continue;
      }
      const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        std::thread([handler = m_handler, accepted] {
          Connection connection(accepted);
          handler(connection);
        }).detach();
      }
    }
  }

  int m_descriptor;
  Handler m_handler;
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

// --- deployment ------------------------------------------------------------------------------------------

/** Bounds of the small deployments, as a settings file lists them. */
inline const char* const kBounds =
  R"(["seedLag=3s","reuseAfter=2s","stableWindow=3000ms","ack=4000ms","catchUp=4s","drain=2500ms","grace=6s",)"
  R"("lossSlack=200ms","configApply=2500ms","downgradeSlack=250ms","outer=5000ms","retryBudgetRatio=0.2",)"
  R"("retryWindow=10s","budgetSlack=64","recovery=15s"])";

inline const char* const kZones =
  R"({"bne-north":"brisbane","bne-south":"brisbane","tsv-central":"townsville","tsv-coast":"townsville"})";

/** Addresses, settings files and folders of a deployment; each machine has a loopback address of its own. */
class Deployment
{
public:
  Deployment()
  {
    char pattern[] = "/tmp/review-XXXXXX";
    m_folder = ::mkdtemp(pattern);
    const int number = ::getpid();
    m_network =
      "127." + std::to_string(20 + number / 200 % 200) + "." + std::to_string(1 + number % 200) + ".";
    m_port = 21000 + number % 400 * 20;
    for (int tries = 0; tries < 100 && !IsFree(); ++tries) {
      m_port += 20;
    }
  }

  ~Deployment() { std::filesystem::remove_all(m_folder); }

  const std::string& Folder() const { return m_folder; }
  std::string Host(int aMachine) const { return m_network + std::to_string(10 + aMachine); }
  Address Inbound(int aMachine) const { return { Host(aMachine), m_port }; }
  Address Instance(int aMachine) const { return { Host(aMachine), m_port + 1 }; }
  Address Ready(int aMachine) const { return { Host(aMachine), m_port + 2 }; }
  Address Outbound(int aMachine) const { return { Host(aMachine), m_port + 4 }; }
  Address Control(int aMachine) const { return { Host(aMachine), m_port + 6 }; }

  std::string DataFolder(int aMachine) const { return m_folder + "/data-" + std::to_string(aMachine); }
  std::string OutputFile(int aMachine) const { return m_folder + "/out-" + std::to_string(aMachine); }
  std::string OutputOf(int aMachine) const
  {
    std::ifstream stream(OutputFile(aMachine));
    return { std::istreambuf_iterator<char>(stream), {} };
  }

  Process StartCore(int aMachine, const std::vector<int>& aSeeds, bool aBootstrap) const
  {
    std::filesystem::create_directories(DataFolder(aMachine));
    const std::string own =
      R"("nodeId":"core-)" + std::to_string(aMachine) + R"(","role":"control","machineClass":"core",)" +
      R"("serves":["control"],"listenAddrs":{"control":")" + Control(aMachine).Text() + R"("},"dataDir":")" +
      DataFolder(aMachine) + R"(","faultCounted":true,"limits":{"cpuShare":0.15,"cores":1,"memoryMb":256,)" +
      R"("maxFds":4096,"linkMbps":170.0,"diskMb":256})";
    return Start(aMachine, own, aSeeds, aBootstrap);
  }

  Process StartNode(int aMachine,
                    const std::vector<int>& aSeeds,
                    bool aBootstrap,
                    const std::string& aService) const
  {
    const std::string own = R"("nodeId":"sidecar-)" + std::to_string(aMachine) +
                            R"(","role":"node","machineClass":"sidecar",)" +
                            R"("serves":["sidecar"],"listenAddrs":{"inbound":")" + Inbound(aMachine).Text() +
                            R"(","outbound":")" + Outbound(aMachine).Text() + R"(","ready":")" +
                            Ready(aMachine).Text() + R"(","control":")" + Control(aMachine).Text() +
                            R"("},"dataDir":null,"faultCounted":false,"limits":{"cpuShare":0.2,"cores":1,)" +
                            R"("memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},"appAddr":")" +
                            Instance(aMachine).Text() + R"(","service":")" + aService + "\"";
    return Start(aMachine, own, aSeeds, aBootstrap);
  }

private:
  bool IsFree() const
  {
    for (int machine = 0; machine < 20; ++machine) {
      for (int offset = 0; offset < 20; ++offset) {
        const int descriptor = Listen({ Host(machine), m_port + offset });
        if (descriptor < 0) {
          return false;
        }
        ::close(descriptor);
      }
    }
    return true;
  }

  Process Start(int aMachine, const std::string& aOwn, const std::vector<int>& aSeeds, bool aBootstrap) const
  {
    static const char* const kZoneNames[] = { "bne-north", "tsv-central", "bne-south", "tsv-coast" };
    std::string seeds;
    for (const int seed : aSeeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + Control(seed).Text() + "\"";
    }
    const int zone = aMachine % 4;
    const std::string text =
      "{" + aOwn + R"(,"ip":")" + Host(aMachine) + R"(","zone":")" + kZoneNames[zone] + R"(","region":")" +
      (zone % 2 == 0 ? "brisbane" : "townsville") + R"(","zones":)" + kZones + R"(,"portRange":[)" +
      std::to_string(m_port + 7) + "," + std::to_string(m_port + 19) + R"(],"seeds":[)" + seeds +
      R"(],"bootstrap":)" + (aBootstrap ? "true" : "false") +
      R"(,"discovery":"static","entry":"static","heartbeat":"1500ms",)" +
      R"("contracts":["base","drain","config","cost","retry","recover"],)" +
      R"("faultTolerance":{"machines":1,"zones":0,"regions":0},"bounds":)" + kBounds + "}";
    const std::string path = m_folder + "/settings-" + std::to_string(aMachine) + ".json";
    std::ofstream(path) << text;
    return Process::Start(path, OutputFile(aMachine));
  }

  std::string m_folder;
  std::string m_network;
  int m_port = 0;
};

// --- operator --------------------------------------------------------------------------------------------

/** A route and a service of a configuration. */
struct RouteText
{
  std::string name;
  std::string service;
  std::string kind = "safe";
  std::string timeout = "2000ms";
  int maxAttempts = 2;
};

inline std::string
MakeConfiguration(int aVersion, const std::vector<RouteText>& aRoutes)
{
  std::string routes;
  std::string services;
  std::set<std::string> named;
  for (const RouteText& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + std::string(R"({"name":")") + route.name +
              R"(","host":"salon.example",)" + R"("pathPrefix":"/)" + route.name + R"(/","kind":")" +
              route.kind + R"(","timeout":")" + route.timeout +
              R"(","targetLatency":"800ms","priority":1,"service":")" + route.service +
              R"(","maxAttempts":)" + std::to_string(route.maxAttempts) + "}";
    if (named.insert(route.service).second) {
      services += (services.empty() ? "" : ",") + std::string(R"({"name":")") + route.service +
                  R"(","healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false})";
    }
  }
  return R"({"version":"r)" + std::to_string(aVersion) + R"(","routes":[)" + routes + R"(],"services":[)" +
         services +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms",)" +
         R"("idleTimeout":"15000ms"}})";
}

/** Sends a configuration to one replica after the other until one of them gives a final answer. */
inline int
Replace(Record& aRecord,
        const Deployment& aDeployment,
        const std::vector<int>& aMachines,
        int aBase,
        const std::string& aConfiguration,
        milliseconds aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  const std::string request = MakeRequest("POST /-/Config.Replace",
                                          { { "Host", "control" },
                                            { "Base-Version", "r" + std::to_string(aBase) },
                                            { "Content-Type", "application/json" } },
                                          aConfiguration);
  const std::string version = aConfiguration.substr(12, aConfiguration.find('"', 12) - 12);
  int status = 0;
  for (size_t i = 0; Clock::now() < deadline; ++i) {
    const int machine = aMachines[i % aMachines.size()];
    status = Call(aDeployment.Control(machine), request).Status();
    if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
      aRecord.Line("operator: Config.Replace " + version + " at core-" + std::to_string(machine) + ": " +
                   std::to_string(status));
      return status;
    }
    Sleep(milliseconds(100));
  }
  aRecord.Line("operator: Config.Replace " + version + ": no clear answer, last status " +
               std::to_string(status));
  return status;
}

inline Message
ReadConfiguration(const Deployment& aDeployment, int aMachine)
{
  return Call(aDeployment.Control(aMachine), MakeRequest("GET /-/Config.Read", { { "Host", "control" } }));
}

/** Returns the number of the version in a configuration, or 0. */
inline int
VersionOf(const std::string& aConfiguration)
{
  const size_t at = aConfiguration.find(R"("version":"r)");
  return at == std::string::npos ? 0 : std::atoi(aConfiguration.c_str() + at + 12);
}

inline bool
IsReady(const Deployment& aDeployment, int aMachine)
{
  return Call(aDeployment.Ready(aMachine), MakeRequest("GET /-/readyz", { { "Host", "node" } })).Status() ==
         200;
}

// --- instance --------------------------------------------------------------------------------------------

/** A sound instance of a service: runs requests, signs its answers and sends pings to the node beside it. */
class Instance
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    Address address;
    /** Address of the node beside it that takes the pings. */
    Address control;
    int capacity = 6;
    milliseconds work{ 100 };
    milliseconds heartbeat{ 1500 };
    /** Requests whose path ends like this end the instance when they have run for some time. */
    std::string deadly{};
    milliseconds deadlyAfter{ 1000 };
    milliseconds downFor{ 2000 };
    /** Writes an answer of its own in place of the sound one, if it is set; returns whether it did. */
    std::function<bool(const Message&, Connection&)> spoil{};
  };

  Instance(Record& aRecord, Options aOptions)
    : m_record(aRecord)
    , m_options(std::move(aOptions))
    , m_born(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server(
        std::make_unique<Server>(m_options.address, [this](Connection& aConnection) { Serve(aConnection); }))
    , m_pings([this] { Ping(); })
  {
  }

  ~Instance()
  {
    m_stop = true;
    m_pings.join();
  }

  /** Times at which the instance crashed. */
  std::vector<Clock::time_point> Crashes() const
  {
    const std::lock_guard lock(m_mutex);
    return m_crashes;
  }

  /** Stops the regular pings; the ones that are sent by hand aren't affected. */
  void StopPings() { m_pinging = false; }
  void SetLeaving() { m_leaving = true; }

  /** Returns the body of a ping with the next sequence number. */
  std::string MakePing(const std::string& aState)
  {
    return R"({"service":")" + m_options.service + R"(","address":")" + m_options.address.Text() +
           R"(","zone":"bne-north","version":"v1","capacity":)" + std::to_string(m_options.capacity) +
           R"(,"state":")" + aState + R"(","warmupLeft":"0ms","born":)" + std::to_string(m_born) +
           R"(,"seq":)" + std::to_string(++m_sequence) + "}";
  }

  int SendPing(const std::string& aBody) const
  {
    return Post("/-/Instances.Heartbeat/" + m_options.id, aBody);
  }

  int SendDeregistration()
  {
    return Post("/-/Instances.Deregister/" + m_options.id,
                R"({"service":")" + m_options.service + R"(","address":")" + m_options.address.Text() +
                  R"(","born":)" + std::to_string(m_born) + R"(,"seq":)" + std::to_string(++m_sequence) +
                  "}");
  }

  /** Requests that ran when the instance crashed, without the deadly ones. */
  std::set<std::string> Lost() const
  {
    const std::lock_guard lock(m_mutex);
    return m_lost;
  }

  /** Times at which requests reached the instance, by their identifiers. */
  std::multimap<std::string, Clock::time_point> Arrivals() const
  {
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
  }

private:
  int Post(const std::string& aPath, const std::string& aBody) const
  {
    return Call(m_options.control,
                MakeRequest(
                  "POST " + aPath, { { "Host", "control" }, { "Content-Type", "application/json" } }, aBody))
      .Status();
  }

  /** Ends all connections and the listener; a new incarnation with the same identifier follows. */
  void Crash(const std::string& aId)
  {
    {
      const std::lock_guard lock(m_mutex);
      m_crashes.push_back(Clock::now());
    }
    m_isDown = true;
    // The listener first: as with a process that ends, the address refuses connections once the others break.
    m_server.reset();
    ++m_generation;
    m_record.Line("instance " + m_options.id + ": crashes while it runs " + aId);
    std::thread([this] {
      Sleep(m_options.downFor);
      m_born =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
      m_sequence = 0;
      m_server =
        std::make_unique<Server>(m_options.address, [this](Connection& aConnection) { Serve(aConnection); });
      m_record.Line("instance " + m_options.id + ": is back");
      m_isDown = false;
    }).detach();
  }

  void Ping()
  {
    auto next = Clock::now();
    while (!m_stop) {
      if (m_isDown) {
        next = Clock::now();
      } else if (m_pinging && Clock::now() >= next) {
        SendPing(MakePing(m_leaving ? "draining" : "ready"));
        next = Clock::now() + m_options.heartbeat;
      }
      Sleep(milliseconds(10));
    }
  }

  void Serve(Connection& aConnection)
  {
    const int generation = m_generation;
    while (true) {
      while (!aConnection.IsReadable(milliseconds(10))) {
        if (generation != m_generation) {
          return;
        }
      }
      const Message request = aConnection.Read(seconds(10));
      if (!request.complete || !Answer(request, aConnection)) {
        return;
      }
    }
  }

  Headers AnswerHeaders(const std::string& aId, const Headers& aMore) const
  {
    Headers headers{ { "Request-Id", aId }, { "Keep-Alive", "timeout=10" } };
    headers.insert(headers.end(), aMore.begin(), aMore.end());
    if (m_leaving) {
      headers.emplace_back("Server-Leaving", "1");
    }
    return headers;
  }

  bool Answer(const Message& aRequest, Connection& aConnection)
  {
    if (aRequest.Word(1) == "/healthz") {
      return aConnection.Send(MakeResponse(m_leaving ? 503 : 200, { { "Instance-Id", m_options.id } }));
    }
    const std::string id = Find(aRequest.headers, "Request-Id");
    const std::string expected = Find(aRequest.headers, "Expected-Instance");
    if (id.empty() || (!expected.empty() && expected != m_options.id)) {
      return aConnection.Send(
        MakeResponse(id.empty() ? 400 : 421, AnswerHeaders(id, { { "Not-Executed", "1" } })));
    }
    if (++m_open > m_options.capacity) {
      --m_open;
      return aConnection.Send(MakeResponse(503, AnswerHeaders(id, { { "Not-Executed", "1" } })));
    }
    {
      const std::lock_guard lock(m_mutex);
      m_arrivals.emplace(id, Clock::now());
    }
    m_record.Line("instance " + m_options.id + ": runs " + id);
    const std::string path = aRequest.Word(1);
    const bool isDeadly = !m_options.deadly.empty() && path.ends_with(m_options.deadly);
    const int generation = m_generation;
    const auto end = Clock::now() + (isDeadly ? m_options.deadlyAfter : m_options.work);
    bool dropped = false;
    while (Clock::now() < end && !dropped && generation == m_generation) {
      Sleep(milliseconds(2));
      // Most instances drop a request whose connection was closed; the deadly one doesn't get that far.
      dropped = !isDeadly && aConnection.IsClosedByPeer();
    }
    --m_open;
    if (generation != m_generation) {
      m_record.Line("instance " + m_options.id + ": loses " + id + " in its crash");
      const std::lock_guard lock(m_mutex);
      m_lost.insert(id);
      return false;
    }
    if (isDeadly) {
      Crash(id);
      return false;
    }
    if (dropped) {
      m_record.Line("instance " + m_options.id + ": drops " + id + ", its connection was closed");
      return false;
    }
    if (m_options.spoil && m_options.spoil(aRequest, aConnection)) {
      m_record.Line("instance " + m_options.id + ": spoils the answer to " + id);
      return false;
    }
    return aConnection.Send(
      MakeResponse(200,
                   AnswerHeaders(id, { { "Response-Signature", "signature-of-" + m_options.id } }),
                   "done by " + m_options.id));
  }

  Record& m_record;
  Options m_options;
  std::atomic<int64_t> m_born;
  std::atomic<int> m_generation{ 0 };
  std::atomic<bool> m_isDown{ false };
  std::vector<Clock::time_point> m_crashes;
  std::set<std::string> m_lost;
  std::atomic<int> m_sequence{ 0 };
  std::atomic<int> m_open{ 0 };
  std::atomic<bool> m_stop{ false };
  std::atomic<bool> m_pinging{ true };
  std::atomic<bool> m_leaving{ false };
  mutable std::mutex m_mutex;
  std::multimap<std::string, Clock::time_point> m_arrivals;
  std::unique_ptr<Server> m_server;
  std::thread m_pings;
};

/** Returns a client's request with its own identifier. */
inline std::string
MakeClientRequest(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aId,
                  milliseconds aTimeout,
                  const std::string& aBody = {})
{
  return MakeRequest(aMethod + " " + aPath,
                     { { "Host", "salon.example" },
                       { "Request-Id", aId },
                       { "Timeout-Ms", std::to_string(aTimeout.count()) } },
                     aBody);
}

inline bool
WaitUntil(milliseconds aTimeout, const std::function<bool()>& aCondition)
{
  const auto deadline = Clock::now() + aTimeout;
  while (!aCondition()) {
    if (Clock::now() >= deadline) {
      return false;
    }
    Sleep(milliseconds(50));
  }
  return true;
}

} // namespace review
