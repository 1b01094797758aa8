#pragma once

#include "common/clock.h"
#include "harness/mesh.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

class RawConnection;

/** A download whose request was sent whole, as its caller saw it. */
struct Download
{
  /** Part of the request's path; the target's ledger shows it. */
  std::string key;
  std::string node;
  /** Length of the body that the request asks for. */
  size_t bodyBytes = 0;
  size_t receivedBytes = 0;
  /** Zero if the head of the response wasn't received. */
  int status = 0;
  std::string outcome;
  /** The response was received completely, as HTTP defines it. */
  bool complete = false;
  bool bodyIsRight = false;
  /** The caller gave up because its round ended. */
  bool abandoned = false;
  /** The connection was reset, as by a node's kernel that gives up on a slow reader. */
  bool reset = false;
  /** Bytes that the caller's kernel received after the node's process had ended. */
  size_t bytesAfterEnd = 0;
  std::chrono::milliseconds time{ 0 };
  WallTime endedAt;
};

/** Counts of downloads, and of the violations found by comparing them with the ledgers. */
struct DownloadSummary
{
  int complete = 0;
  /** Complete responses other than 200. */
  int refused = 0;
  /** Requests without a byte of response on a closed connection that are in no ledger. */
  int crossedClose = 0;
  /** Responses that ended early, and requests that ran but got no response. */
  int cut = 0;
  /** Complete responses whose last bytes the node's kernel sent after its process; they end with the VM. */
  int sentAfterEnd = 0;
  /** Responses with the outcome not-run to requests that are in a ledger. */
  int falseNotRun = 0;
  /** Complete responses with status 200 and another body than that asked for. */
  int wrongBody = 0;
  /** Incomplete responses in rounds with unplanned faults, which may cut responses. */
  int unjudged = 0;

  void Add(const DownloadSummary& aOther);
  bool HasNoViolation() const { return cut == 0 && sentAfterEnd == 0 && falseNotRun == 0 && wrongBody == 0; }
};

/** Returns the counts as text. */
std::string
Describe(const DownloadSummary& aSummary);

/**
 * Callers that download large bodies, some of them slowly. Each uses one connection for request after request
 * until the node closes it, and then connects to a random node.
 */
class DownloadCallers
{
public:
  struct Options
  {
    /** Start of all keys. */
    std::string prefix;
    uint64_t seed = 0;
    /** The faults of the round are planned: no response may be cut, so callers wait for their last one. */
    bool plannedOnly = false;
  };

  /** Starts the callers; the mesh must outlive this. */
  DownloadCallers(Mesh& aMesh, Options aOptions);
  ~DownloadCallers();

  DownloadCallers(const DownloadCallers&) = delete;
  DownloadCallers& operator=(const DownloadCallers&) = delete;

  /** Ends the callers, checks their downloads and writes each violation to the output. */
  DownloadSummary Finish();

private:
  /** The process at the other end of a connection and how the caller reads. */
  struct Conditions
  {
    pid_t process = -1;
    /** Zero means that it reads as fast as it can. */
    size_t bytesPerSecond = 0;
    int receiveBufferBytes = 0;
  };

  void Run(uint64_t aCaller);
  void UseConnection(const std::string& aNode, const std::string& aPrefix, std::mt19937_64& aRandom);
  bool Fetch(const RawConnection& aConnection, const Conditions& aConditions, Download& aDownload) const;
  DownloadSummary Judge(const Download& aDownload, bool aRan) const;

  Mesh& m_mesh;
  const Options m_options;
  std::atomic<bool> m_stop{ false };
  std::mutex m_mutex;
  std::vector<Download> m_downloads;
  std::vector<std::thread> m_callers;
};

} // namespace mimosarun
