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
 * Stand-in for a target: a fixed number of slots, a cost for each call, and a ledger of the calls that ran.
 *
 * The path of a call may ask for more: `?ms=N` its cost, `?bytes=N` the length of the answer, `?shed=1` a
 * refusal as not run, `?cut=1` an answer that breaks off, `?foreign=1` an answer with another call's
 * identifier, `?late=1` no answer at all. `POST /standin?factor=N` multiplies the cost of all later calls,
 * `POST /standin?mute=1` stops the announcements.
 */
class StandinTarget
{
public:
  struct Options
  {
    std::string name;
    std::string service;
    Address address;
    /** Target address of the node beside it. */
    Address announceAddress;
    std::string ledgerPath;
    int slots = 6;
    /** Slots that it claims to have; zero means the truth. */
    int announcedSlots = 0;
    std::chrono::milliseconds cost{ 10 };
    std::chrono::milliseconds startupTime{ 0 };
  };

  explicit StandinTarget(Options aOptions);
  ~StandinTarget();

  bool Start();

  /** Announces that it drains, ends the calls in flight, then stops. */
  void Drain();

  void WaitUntilStopped();

private:
  /** One call that waits for a slot or runs. */
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
