#include "process/shutdownsignal.h"

#include <pthread.h>

namespace mimosarun {

ShutdownSignal::ShutdownSignal()
{
  sigemptyset(&m_signals);
  sigaddset(&m_signals, SIGTERM);
  sigaddset(&m_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // A write past a file size limit then fails like one on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
}

void
ShutdownSignal::Wait()
{
  int received = 0;
  sigwait(&m_signals, &received);
}

} // namespace mimosarun
