#include "process/shutdownsignal.h"

#include <pthread.h>

namespace mimosarun {

ShutdownSignal::ShutdownSignal()
{
  sigemptyset(&m_signals);
  sigaddset(&m_signals, SIGTERM);
  sigaddset(&m_signals, SIGINT);
  sigaddset(&m_signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the file size limit then fails with an error, as on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
}

void
ShutdownSignal::Wait(const std::function<void()>& aReload)
{
  while (true) {
    int received = 0;
    sigwait(&m_signals, &received);
    if (received != SIGHUP) {
      return;
    }
    if (aReload) {
      aReload();
    }
  }
}

} // namespace mimosarun
