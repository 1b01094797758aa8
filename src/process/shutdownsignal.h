#pragma once

#include <csignal>

namespace mimosarun {

/** Waits for SIGTERM or SIGINT; blocks them for all threads started after it. Ignores SIGPIPE and SIGXFSZ. */
class ShutdownSignal
{
public:
  ShutdownSignal();

  void Wait();

private:
  sigset_t m_signals{};
};

} // namespace mimosarun
