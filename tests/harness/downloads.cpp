#include "harness/downloads.h"

#include "harness/bookings.h"
#include "harness/rawserver.h"
#include "harness/responsereader.h"

#include <cerrno>
#include <cmath>
#include <csignal>
#include <iostream>
#include <optional>

namespace mimosarun {

static constexpr uint64_t kCallers = 24;
/** Requested bodies are of 20 KB to 1 MB, half of them close to one of the limits of the system's buffers. */
static constexpr size_t kSmallestBodyBytes = 20UL * 1000;
static constexpr size_t kLargestBodyBytes = 1000UL * 1000;
static constexpr size_t kExchangeBufferBytes = 32UL * 1024;
static constexpr size_t kBufferedResponseBytes = 64UL * 1024;
static constexpr size_t kSpreadAroundLimitBytes = 2048;
static constexpr size_t kSlowestBytesPerSecond = 100UL * 1000;
static constexpr size_t kFastestBytesPerSecond = 2000UL * 1000;
/** As on an Ethernet; with the segments of the loopback device, the kernel takes a whole response at once. */
static constexpr int kSegmentBytes = 1448;
static constexpr size_t kReadBytes = 16UL * 1024;
static constexpr std::chrono::milliseconds kReadPoll{ 20 };
/** Time of the slowest downloads. Short in rounds that stop nodes one by one, which wait for their calls. */
static constexpr std::chrono::milliseconds kLongestPlannedDownload{ 5000 };
static constexpr std::chrono::milliseconds kLongestOtherDownload{ 1000 };
static constexpr std::chrono::milliseconds kPlannedTimeout{ 20000 };
static constexpr std::chrono::milliseconds kOtherTimeout{ 3000 };
/** Time without a complete response after which a caller gives up, beyond the timeout of the request. */
static constexpr std::chrono::milliseconds kGiveUpDelay{ 10000 };
static constexpr std::chrono::milliseconds kShortestPause{ 20 };
static constexpr uint64_t kLongestPauseMilliseconds = 200;

/** Draws a size whose logarithm is uniform, so that small and large ones are equally frequent. */
static size_t
DrawLogUniform(size_t aLow, size_t aHigh, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> exponent(std::log(aLow), std::log(aHigh));
  return static_cast<size_t>(std::exp(exponent(aRandom)));
}

static size_t
DrawBodyBytes(std::mt19937_64& aRandom)
{
  const size_t offset = aRandom() % (2 * kSpreadAroundLimitBytes);
  switch (aRandom() % 4) {
    case 0:
      return kExchangeBufferBytes - kSpreadAroundLimitBytes + offset;
    case 1:
      return kBufferedResponseBytes - kSpreadAroundLimitBytes + offset;
    default:
      return DrawLogUniform(kSmallestBodyBytes, kLargestBodyBytes, aRandom);
  }
}

void
DownloadSummary::Add(const DownloadSummary& aOther)
{
  complete += aOther.complete;
  refused += aOther.refused;
  crossedClose += aOther.crossedClose;
  cut += aOther.cut;
  sentAfterEnd += aOther.sentAfterEnd;
  falseNotRun += aOther.falseNotRun;
  wrongBody += aOther.wrongBody;
  unjudged += aOther.unjudged;
}

std::string
Describe(const DownloadSummary& aSummary)
{
  return "downloads: " + std::to_string(aSummary.complete) + " complete, " +
         std::to_string(aSummary.refused) + " refused, " + std::to_string(aSummary.crossedClose) +
         " crossed a close, " + std::to_string(aSummary.cut) + " cut, " +
         std::to_string(aSummary.sentAfterEnd) + " sent after the end, " +
         std::to_string(aSummary.falseNotRun) + " false not-run, " + std::to_string(aSummary.wrongBody) +
         " wrong, " + std::to_string(aSummary.unjudged) + " not judged";
}

DownloadCallers::DownloadCallers(Mesh& aMesh, Options aOptions)
  : m_mesh(aMesh)
  , m_options(std::move(aOptions))
{
  for (uint64_t caller = 0; caller < kCallers; ++caller) {
    m_callers.emplace_back([this, caller] { Run(caller); });
  }
}

DownloadCallers::~DownloadCallers()
{
  m_stop = true;
  for (std::thread& caller : m_callers) {
    caller.join();
  }
}

void
DownloadCallers::Run(uint64_t aCaller)
{
  std::mt19937_64 random(m_options.seed + aCaller);
  const std::vector<std::string> nodes = m_mesh.Nodes();
  for (int connection = 0; !m_stop; ++connection) {
    const std::string prefix =
      m_options.prefix + std::to_string(aCaller) + "-" + std::to_string(connection) + "-";
    UseConnection(nodes[random() % nodes.size()], prefix, random);
    std::this_thread::sleep_for(kShortestPause);
  }
}

void
DownloadCallers::UseConnection(const std::string& aNode, const std::string& aPrefix, std::mt19937_64& aRandom)
{
  Conditions conditions;
  const bool isSlow = aRandom() % 3 != 0;
  if (isSlow) {
    conditions.bytesPerSecond = DrawLogUniform(kSlowestBytesPerSecond, kFastestBytesPerSecond, aRandom);
    conditions.receiveBufferBytes = static_cast<int>(DrawLogUniform(4096, kBufferedResponseBytes, aRandom));
  }
  const RawConnection connection(
    m_mesh.ProcessOf(aNode).callerAddress,
    { .receiveBufferBytes = conditions.receiveBufferBytes, .segmentBytes = kSegmentBytes });
  conditions.process = m_mesh.ProcessOf(aNode).process.Id();
  bool open = connection.IsConnected();
  std::string unexpected;
  for (int number = 0; open && !m_stop; ++number) {
    Download download{ .key = aPrefix + std::to_string(number),
                       .node = aNode,
                       .bodyBytes = DrawBodyBytes(aRandom) };
    const auto start = SteadyClock::now();
    open = Fetch(connection, conditions, download);
    download.time = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - start);
    download.endedAt = WallNow();
    {
      const std::lock_guard lock(m_mutex);
      m_downloads.push_back(std::move(download));
    }
    std::this_thread::sleep_for(kShortestPause +
                                std::chrono::milliseconds(aRandom() % kLongestPauseMilliseconds));
    open = open && connection.ReceiveSome(unexpected, 1, std::chrono::milliseconds(0));
  }
}

/** Returns how many bytes a caller reads next, or zero if it has read as much as its pace allows. */
static size_t
AllowedBytes(size_t aBytesPerSecond, size_t aReceivedBytes, std::chrono::duration<double> aTime)
{
  if (aBytesPerSecond == 0) {
    return kReadBytes;
  }
  const auto allowed = static_cast<size_t>(static_cast<double>(aBytesPerSecond) * aTime.count());
  return std::min(kReadBytes, allowed - std::min(allowed, aReceivedBytes));
}

static bool
HasEnded(pid_t aProcess)
{
  return aProcess > 0 && ::kill(aProcess, 0) != 0 && errno == ESRCH;
}

/** Sends a request and reads the response; returns whether the connection can be used for another. */
bool
DownloadCallers::Fetch(const RawConnection& aConnection,
                       const Conditions& aConditions,
                       Download& aDownload) const
{
  const auto longest = m_options.plannedOnly ? kLongestPlannedDownload : kLongestOtherDownload;
  const auto timeout = m_options.plannedOnly ? kPlannedTimeout : kOtherTimeout;
  const size_t slowest = aDownload.bodyBytes * 1000 / static_cast<size_t>(longest.count());
  const size_t bytesPerSecond =
    aConditions.bytesPerSecond == 0 ? 0 : std::max(aConditions.bytesPerSecond, slowest);
  const std::string& service = m_mesh.Options().services[aDownload.bodyBytes % 2];
  const bool sent = aConnection.Send(
    "GET /" + service + "/long/" + aDownload.key + "?bytes=" + std::to_string(aDownload.bodyBytes) +
    " HTTP/1.1\r\nHost: mesh\r\n" + "X-Token: " + aDownload.key +
    "\r\nMimosarun-Timeout-Ms: " + std::to_string(timeout.count()) + "\r\n\r\n");
  ResponseReader reader(2 * kLargestBodyBytes);
  const auto start = SteadyClock::now();
  bool open = sent;
  std::optional<size_t> bytesAtEnd;
  while (open && !reader.IsDone() && !aDownload.abandoned) {
    if (!bytesAtEnd && HasEnded(aConditions.process)) {
      bytesAtEnd = reader.ReceivedBytes() + aConnection.HeldBytes();
    }
    const auto now = SteadyClock::now();
    const size_t limit = AllowedBytes(bytesPerSecond, reader.ReceivedBytes(), now - start);
    if (limit == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    } else {
      open = reader.Read(aConnection, limit, kReadPoll);
    }
    aDownload.abandoned = m_stop && !m_options.plannedOnly;
    open = open && now < start + timeout + kGiveUpDelay;
  }
  aDownload.reset = reader.WasReset();
  aDownload.receivedBytes = reader.ReceivedBytes();
  aDownload.bytesAfterEnd = aDownload.receivedBytes - bytesAtEnd.value_or(aDownload.receivedBytes);
  aDownload.status = reader.Status();
  aDownload.outcome = reader.Header("Mimosarun-Outcome");
  aDownload.complete = reader.IsDone();
  const std::string& body = reader.Body();
  aDownload.bodyIsRight = body.size() == aDownload.bodyBytes && body.starts_with(aDownload.key + "\n");
  return reader.KeepsAlive();
}

// --- checks ----------------------------------------------------------------------------------------------

DownloadSummary
DownloadCallers::Judge(const Download& aDownload, bool aRan) const
{
  if (aDownload.complete && aDownload.bytesAfterEnd > 0 && m_options.plannedOnly) {
    return { .sentAfterEnd = 1 };
  }
  if (aDownload.complete && aDownload.status == 200) {
    return aDownload.bodyIsRight ? DownloadSummary{ .complete = 1 } : DownloadSummary{ .wrongBody = 1 };
  }
  if (aDownload.complete) {
    return aRan && aDownload.outcome == "not-run" ? DownloadSummary{ .falseNotRun = 1 }
                                                  : DownloadSummary{ .refused = 1 };
  }
  if (!m_options.plannedOnly) {
    return { .unjudged = 1 };
  }
  return aDownload.receivedBytes == 0 && !aRan ? DownloadSummary{ .crossedClose = 1 }
                                               : DownloadSummary{ .cut = 1 };
}

DownloadSummary
DownloadCallers::Finish()
{
  m_stop = true;
  for (std::thread& caller : m_callers) {
    caller.join();
  }
  m_callers.clear();
  const std::map<std::string, int> runs = RunsByPath(m_mesh, "/long/");
  DownloadSummary all;
  for (const Download& download : m_downloads) {
    const bool ran = runs.contains(download.key);
    const DownloadSummary judged = Judge(download, ran);
    all.Add(judged);
    if (!judged.HasNoViolation() || judged.crossedClose > 0) {
      std::cout << (judged.cut > 0            ? "  cut: "
                    : judged.sentAfterEnd > 0 ? "  sent after the end: "
                    : judged.crossedClose > 0 ? "  crossed the close: "
                                              : "  wrong: ")
                << download.key << " at " << download.node << ": " << download.receivedBytes << " bytes of "
                << download.bodyBytes << ", status " << download.status << " " << download.outcome << ", "
                << (ran ? "ran" : "did not run") << (download.reset ? ", reset" : "") << ", "
                << download.time.count() << " ms, " << download.bytesAfterEnd
                << " bytes after the node's end, ended at " << download.endedAt.time_since_epoch().count()
                << "\n";
    }
  }
  return all;
}

} // namespace mimosarun
