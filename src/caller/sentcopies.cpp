#include "caller/sentcopies.h"

#include <utility>

namespace mimosarun {

int
SentCopies::RecordSent()
{
  const int due = std::exchange(m_dueCopy, 0);
  const int copy = due == 0 ? ++m_lastCopy : due;
  m_openCopies.insert(copy);
  return copy;
}

int
SentCopies::BeginCopy()
{
  m_isRepeating = true;
  m_mayHaveRun = true;
  m_dueCopy = ++m_lastCopy;
  return m_dueCopy;
}

NextStep
SentCopies::CancelDueCopy()
{
  m_dueCopy = 0;
  return WaitOr(NextStep::GiveUp);
}

NextStep
SentCopies::OnSilence(int aCopy)
{
  return SendUnlessLaterIsOpen(aCopy);
}

NextStep
SentCopies::OnEnd(int aCopy, CopyEnd aEnd)
{
  m_openCopies.erase(aCopy);
  switch (aEnd) {
    case CopyEnd::NotSent:
      return m_isRepeating ? SendUnlessLaterIsOpen(aCopy) : LeaveGate();
    case CopyEnd::Lost:
      m_mayHaveRun = true;
      return SendUnlessLaterIsOpen(aCopy);
    case CopyEnd::NotRun:
      // The gate may have forgotten the first copy and run another one.
      return m_isRepeating && aCopy == m_firstCopy ? WaitOr(NextStep::SendCopy) : LeaveGate();
    case CopyEnd::Unknown:
      m_mayHaveRun = true;
      // The gate has told all that it knows of this copy. One that is sent again may still be attached.
      return WaitOr(m_isRepeating ? NextStep::SendCopy : NextStep::GiveUp);
  }
  return NextStep::GiveUp;
}

NextStep
SentCopies::LeaveGate()
{
  m_openCopies.clear();
  m_dueCopy = 0;
  m_firstCopy = m_lastCopy + 1;
  m_isRepeating = false;
  m_mayHaveRun = false;
  return NextStep::UseOtherGate;
}

NextStep
SentCopies::SendUnlessLaterIsOpen(int aCopy) const
{
  const bool isLaterOpen = m_openCopies.upper_bound(aCopy) != m_openCopies.end();
  return isLaterOpen || m_dueCopy != 0 ? NextStep::Wait : NextStep::SendCopy;
}

NextStep
SentCopies::WaitOr(NextStep aStep) const
{
  return m_openCopies.empty() && m_dueCopy == 0 ? aStep : NextStep::Wait;
}

} // namespace mimosarun
