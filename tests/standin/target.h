#pragma once

#include "common/address.h"
#include "common/timerqueue.h"
#include "http/server.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace mimosarun {

/**
 * Test target with a fixed number of slots, a running time for each call, and a ledger file of the calls that
 * ran.
 *
 * The query of a call selects its behaviour: `?ms=N` sets its running time, `?bytes=N` the minimum length of
 * the body, `?shed=1` rejects it as not run, `?cut=N` breaks off the response N bytes
 * before its announced end, `?foreign=1` responds
 * with another call's identifier, `?late=1` never responds,
 * `?headers=1` lists the headers of the request in the body, `?crash=1` ends the process. `POST
 * /standin?factor=N` multiplies the running time of all later calls; `POST /standin?mute=1` stops the
 * announcements.
 */
class StandinTarget
{
public:
  struct Options
  {
    std::string name;
    std::string service;
    Address address;
    /** Address at which the target's own node accepts announcements. */
    Address announceAddress;
    std::string ledgerPath;
    int slots = 6;
    /** Number of slots in the announcements; zero means the real number. */
    int announcedSlots = 0;
    std::chrono::milliseconds cost{ 10 };
    std::chrono::milliseconds startupTime{ 0 };
  };

  explicit StandinTarget(Options aOptions);
  ~StandinTarget();

  bool Start();

  /** Announces the state draining, then stops when no call is running or queued. */
  void Drain();

  void WaitUntilStopped();

private:
  /** One call that is queued for a slot or running. */
  struct Call
  {
    ExchangePointer exchange;
    std::chrono::milliseconds cost{ 0 };
    std::atomic<bool> cancelled{ false };
  };

  using CallPointer = std::shared_ptr<Call>;

  void Handle(const ExchangePointer& aExchange);
  void Configure(const ExchangePointer& aExchange);
  void Run(const CallPointer& aCall);
  void Finish(const CallPointer& aCall);
  void Respond(const CallPointer& aCall);
  void WriteLedger(const HttpRequest& aRequest);
  void RunAnnouncer();
  std::string SendAnnouncement();
  const char* Phase();

  Options m_options;
  std::atomic<int> m_costFactor{ 1 };
  std::atomic<bool> m_announcementsStopped{ false };
  std::atomic<bool> m_draining{ false };
  Deadline m_readyAt;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_runningCalls = 0;
  std::deque<CallPointer> m_queuedCalls;
  bool m_stopped = false;
  std::unique_ptr<TimerQueue> m_timers;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_announcer;
  int m_ledgerFile = -1;
};

} // namespace mimosarun
