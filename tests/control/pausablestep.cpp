#include "control/pausablestep.h"

#include <utility>

namespace mimosarun {

PausableStep::~PausableStep()
{
  while (IsPaused()) {
    Continue();
  }
}

void
PausableStep::Run(std::function<void()> aFunction)
{
  m_hasEnded = false;
  m_thread = std::thread([this, function = std::move(aFunction)] {
    m_functionTurn.acquire();
    try {
      function();
    } catch (...) {
      m_exception = std::current_exception();
    }
    m_hasEnded = true;
    m_callerTurn.release();
  });
  Resume();
}

void
PausableStep::Pause()
{
  m_callerTurn.release();
  m_functionTurn.acquire();
}

void
PausableStep::Continue()
{
  m_functionTurn.release();
  m_callerTurn.acquire();
  if (m_hasEnded) {
    m_thread.join();
  }
}

void
PausableStep::Resume()
{
  Continue();
  if (m_exception != nullptr) {
    std::rethrow_exception(std::exchange(m_exception, nullptr));
  }
}

} // namespace mimosarun
