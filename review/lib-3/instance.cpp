#include "instance.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace review {

static constexpr Millis kIdleTime{ 10000 };
static constexpr Millis kReadTime{ 30000 };
static constexpr Millis kPollTime{ 5 };
static constexpr Millis kPingTimeout{ 1000 };

Instance::Instance(Options aOptions)
  : m_options(std::move(aOptions))
  , m_listener(Listen(m_options.address))
  , m_born(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count())
  , m_sequence(m_options.firstSequence)
  , m_work(m_options.work)
{
  m_acceptor = std::thread([this] { Accept(); });
}

Instance::~Instance()
{
  m_stop = true;
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  if (m_pinger.joinable()) {
    m_pinger.join();
  }
  while (m_connections > 0) {
    std::this_thread::sleep_for(kPollTime);
  }
  if (m_listener >= 0) {
    ::close(m_listener);
  }
}

void
Instance::Crash()
{
  // Nothing is answered from now on; the listening socket closes before the connections do.
  m_hasCrashed = true;
  m_pings = false;
  m_isClosed = true;
  m_acceptor.join();
  ::close(m_listener);
  m_listener = -1;
  m_stop = true;
}

// --- pings -----------------------------------------------------------------------------------------------

void
Instance::StartPings()
{
  m_pings = true;
  m_pinger = std::thread([this] {
    Time next = Clock::now();
    while (!m_stop) {
      if (m_pings && Clock::now() >= next) {
        const bool isDone = SendPing(MakePing("ready")) / 100 == 2;
        next = Clock::now() + (isDone ? m_options.heartbeat : Millis(200));
      }
      std::this_thread::sleep_for(kPollTime);
    }
  });
}

void
Instance::StopPings()
{
  m_pings = false;
}

std::string
Instance::MakePing(const std::string& aState)
{
  const std::string body = "{\"service\":\"" + m_options.service + "\",\"address\":\"" +
                           m_options.address.Text() + "\",\"zone\":\"" + m_options.zone +
                           "\",\"version\":\"v1\",\"capacity\":" + std::to_string(m_options.capacity) +
                           ",\"state\":\"" + aState +
                           "\",\"warmupLeft\":\"0ms\",\"born\":" + std::to_string(m_born) +
                           ",\"seq\":" + std::to_string(m_sequence++) + "}";
  return MakeRequest("POST",
                     "/-/Instances.Heartbeat/" + m_options.id,
                     { "Host: control", "Content-Type: application/json" },
                     body);
}

int
Instance::SendPing(const std::string& aPing) const
{
  const auto answer = Exchange(m_options.pings, aPing, kPingTimeout);
  return answer ? answer->Status() : 0;
}

int
Instance::Deregister()
{
  const auto answer = Exchange(m_options.pings,
                               MakeRequest("POST",
                                           "/-/Instances.Deregister/" + m_options.id,
                                           { "Host: control", "Content-Type: application/json" },
                                           "{\"born\":" + std::to_string(m_born) + "}"),
                               kPingTimeout);
  return answer ? answer->Status() : 0;
}

// --- requests --------------------------------------------------------------------------------------------

void
Instance::SetHeader(const std::string& aLine)
{
  const std::lock_guard lock(m_mutex);
  m_header = aLine.empty() ? std::string() : aLine + "\r\n";
}

std::vector<Arrival>
Instance::Arrivals() const
{
  const std::lock_guard lock(m_mutex);
  return m_arrivals;
}

size_t
Instance::RunningOf(const std::string& aPath) const
{
  const std::lock_guard lock(m_mutex);
  return m_runningPaths.count(aPath);
}

void
Instance::Accept()
{
  while (!m_stop && !m_isClosed) {
    pollfd descriptor{ .fd = m_listener, .events = POLLIN, .revents = 0 };
    if (::poll(&descriptor, 1, 20) <= 0) {
      continue;
    }
    const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection >= 0) {
      ++m_connections;
      std::thread([this, connection] {
        Serve(connection);
        --m_connections;
      }).detach();
    }
  }
}

void
Instance::Serve(int aDescriptor)
{
  Stream stream(aDescriptor);
  Time idleUntil = Clock::now() + kIdleTime;
  while (!m_stop && Clock::now() < idleUntil) {
    pollfd descriptor{ .fd = aDescriptor, .events = POLLIN, .revents = 0 };
    if (::poll(&descriptor, 1, 20) <= 0) {
      continue;
    }
    const std::optional<Message> request = stream.Receive(Clock::now() + kReadTime);
    if (!request) {
      return;
    }
    Run(stream, *request);
    idleUntil = Clock::now() + kIdleTime;
  }
}

bool
Instance::TakeSlot()
{
  const std::lock_guard lock(m_mutex);
  if (m_running >= m_options.capacity) {
    return false;
  }
  ++m_running;
  return true;
}

void
Instance::Run(Stream& aStream, const Message& aRequest)
{
  const Time until = Clock::now() + kReadTime;
  const auto answer = [&](const std::string& aStatus, const std::string& aHeaders, const std::string& aBody) {
    std::string header;
    {
      const std::lock_guard lock(m_mutex);
      header = m_header;
    }
    aStream.Send("HTTP/1.1 " + aStatus + "\r\n" + aHeaders + header + "Content-Length: " +
                   std::to_string(aBody.size()) + "\r\nKeep-Alive: timeout=10\r\n\r\n" + aBody,
                 until);
  };
  if (aRequest.Word(1) == "/healthz") {
    answer(m_leaving ? "503 Leaving" : "200 OK", "Instance-Id: " + m_options.id + "\r\n", "");
    return;
  }
  const std::string id = aRequest.Header("request-id");
  const std::string idLine = "Request-Id: " + id + "\r\n";
  const bool isOther =
    aRequest.Has("expected-instance") && aRequest.Header("expected-instance") != m_options.id;
  bool isFull = false;
  size_t position = 0;
  {
    const std::lock_guard lock(m_mutex);
    position = m_arrivals.size();
    m_arrivals.push_back({ .at = Clock::now(),
                           .id = id,
                           .path = aRequest.Word(1),
                           .callerService = aRequest.Header("caller-service") });
    isFull = m_running >= m_options.capacity && m_waiting >= m_options.queue;
    m_waiting += isOther || isFull ? 0 : 1;
  }
  if (isOther) {
    answer("421 Misdirected", idLine, "");
    return;
  }
  if (isFull) {
    answer("503 Full", idLine + "Not-Executed: 1\r\n", "");
    return;
  }
  const Time deadline =
    Clock::now() + Millis(std::strtoll(aRequest.Header("timeout-ms").c_str(), nullptr, 10));
  bool hasSlot = TakeSlot();
  while (!hasSlot && Clock::now() < deadline && !m_stop) {
    std::this_thread::sleep_for(kPollTime);
    hasSlot = TakeSlot();
  }
  {
    const std::lock_guard lock(m_mutex);
    --m_waiting;
    m_arrivals[position].hasRun = hasSlot;
    if (hasSlot) {
      m_runningPaths.insert(aRequest.Word(1));
    }
  }
  if (!hasSlot) {
    answer("503 Late", idLine + "Not-Executed: 1\r\n", "");
    return;
  }
  const Time end = std::min(deadline, Clock::now() + m_work.load());
  bool isDropped = false;
  while (Clock::now() < end && !m_stop && !isDropped) {
    std::this_thread::sleep_for(std::min<Clock::duration>(kPollTime, end - Clock::now()));
    // Like most instances, it drops a request when its connection closes.
    isDropped = aStream.IsPeerGone();
  }
  {
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_runningPaths.extract(aRequest.Word(1));
  }
  if (!isDropped && !m_hasCrashed) {
    answer("200 OK", idLine + "Response-Signature: signed-" + id + "\r\n", "run by " + m_options.id);
  }
}

} // namespace review
