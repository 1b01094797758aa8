#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace mimosarun {

/**
 * Asks a quorum at short intervals, on each control replica, which version of the configuration is the
 * newest, so that replies to nodes can say how recently that was confirmed. Thread-safe.
 */
class ValidityConfirmer
{
public:
  struct Options
  {
    /** Returns whether the configuration has keys whose removal nodes must learn of in time. */
    std::function<bool()> isNeeded;
    /** Returns the newest version if a quorum confirms it after the start of the call and by a deadline. */
    std::function<std::optional<int64_t>(Deadline)> confirm;
    /** Waits until a deadline or the next version. */
    std::function<void(Deadline)> pause;
    /** Age from which a confirmation is of no more use. */
    std::chrono::milliseconds longestAge{ 5000 };
  };

  explicit ValidityConfirmer(Options aOptions);
  ~ValidityConfirmer();

  ValidityConfirmer(const ValidityConfirmer&) = delete;
  ValidityConfirmer& operator=(const ValidityConfirmer&) = delete;

  void Start();
  void Stop();

  /** Asks once; the confirmation counts from aNow, the time before the question. */
  void Confirm(Deadline aNow);

  /** Returns what to tell a node whose request was received at aReceivedAt, or nothing without confirmation.
   */
  std::optional<wire::Validity> ValidityFor(Deadline aReceivedAt, Deadline aNow) const;

private:
  /** A version that was the newest one when a quorum was asked. */
  struct Confirmation
  {
    int64_t version = 0;
    Deadline askedAt{};
  };

  void Run();

  const Options m_options;
  mutable std::mutex m_mutex;
  std::optional<Confirmation> m_newest;
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

} // namespace mimosarun
