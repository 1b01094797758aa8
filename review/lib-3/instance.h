#pragma once

#include "wire.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** A request that an instance received, in the order of arrival. */
struct Arrival
{
  Time at;
  std::string id;
  std::string path;
  std::string callerService;
  /** Whether the instance began to run it. */
  bool hasRun = false;
};

/** Simulates an application instance: runs requests, signs its answers and sends pings. */
class Instance
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone;
    Endpoint address;
    /** Where pings go: the control address of the instance's own machine. */
    Endpoint pings;
    int capacity = 18;
    /** Requests beyond the capacity that wait; further ones are rejected as not run. */
    int queue = 36;
    Millis work{ 100 };
    Millis heartbeat{ 1500 };
    /** Sequence number of the first ping. */
    int64_t firstSequence = 1;
  };

  explicit Instance(Options aOptions);
  ~Instance();

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  const Options& Described() const { return m_options; }

  /**
   * Ends like a process that crashes: its connections and its listening socket close, nothing is answered.
   */
  void Crash();

  /** Begins to send pings. */
  void StartPings();
  /** Stops sending pings by itself. */
  void StopPings();

  /** Returns the path and the body of a ping with the next sequence number. */
  std::string MakePing(const std::string& aState);
  /** Sends a ping that was made before; returns the status, or 0. */
  int SendPing(const std::string& aPing) const;
  /** Reports that the instance leaves; returns the status, or 0. */
  int Deregister();

  /** Sets what the health check answers: whether the instance is leaving. */
  void SetLeaving(bool aLeaving) { m_leaving = aLeaving; }
  void SetWork(Millis aWork) { m_work = aWork; }
  /** Sets a header line that all answers bear from now on; an empty one removes it. */
  void SetHeader(const std::string& aLine);

  std::vector<Arrival> Arrivals() const;

  /** Returns how many requests with a path run now. */
  size_t RunningOf(const std::string& aPath) const;

private:
  void Accept();
  void Serve(int aDescriptor);
  void Run(Stream& aStream, const Message& aRequest);
  bool TakeSlot();

  const Options m_options;
  int m_listener;
  const int64_t m_born;
  std::atomic<int64_t> m_sequence;
  std::atomic<bool> m_stop{ false };
  std::atomic<bool> m_isClosed{ false };
  std::atomic<bool> m_hasCrashed{ false };
  std::atomic<bool> m_leaving{ false };
  std::atomic<Millis> m_work;
  std::atomic<bool> m_pings{ false };
  mutable std::mutex m_mutex;
  std::string m_header;
  std::vector<Arrival> m_arrivals;
  std::multiset<std::string> m_runningPaths;
  int m_running = 0;
  int m_waiting = 0;
  std::atomic<int> m_connections{ 0 };
  std::thread m_acceptor;
  std::thread m_pinger;
};

} // namespace review
