#pragma once

#include <csignal>
#include <functional>

namespace mimosarun {

/**
 * Waits for SIGTERM and SIGINT, which stop the process, and SIGHUP, which reloads its settings. Blocks these
 * signals in all threads that are started after its construction. Ignores SIGPIPE and SIGXFSZ.
 */
class ShutdownSignal
{
public:
  ShutdownSignal();

  /** Waits until the process is to stop; calls a function each time the settings are to be reloaded. */
  void Wait(const std::function<void()>& aReload = {});

private:
  sigset_t m_signals{};
};

} // namespace mimosarun
