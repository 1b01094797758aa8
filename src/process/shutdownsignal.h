#pragma once

#include <csignal>
#include <functional>

namespace mimosarun {

/**
 * Waits for SIGTERM or SIGINT, and for SIGHUP meanwhile; blocks them for all threads started after it.
 * Ignores SIGPIPE and SIGXFSZ.
 */
class ShutdownSignal
{
public:
  ShutdownSignal();

  /** Returns when the process is to stop; calls a function each time its settings are to be read again. */
  void Wait(const std::function<void()>& aReload = {});

private:
  sigset_t m_signals{};
};

} // namespace mimosarun
