#pragma once

#include <set>

namespace mimosarun {

/** How the attempt that carried a copy ended, if it brought no response of the target. */
enum class CopyEnd
{
  /** No connection could be established. */
  NotSent,
  /** The connection broke or the deadline passed. */
  Lost,
  /** The gate reported that it didn't run the copy. */
  NotRun,
  /** The gate reported that the outcome is unknown. */
  Unknown,
};

/** What to do with a call after an attempt. */
enum class NextStep
{
  /** Another copy may still bring the response. */
  Wait,
  /** Send one more copy to the same gate, which tells what became of the others. */
  SendCopy,
  /** The call didn't run and never will at this gate, so another one may take it. */
  UseOtherGate,
  /** Nothing more can be learned. */
  GiveUp,
};

/**
 * The copies of a call that isn't idempotent at the one gate that may have received it. Their connections may
 * be slow, silent or broken, so a copy may arrive late or never, in any order. A gate runs at most one of
 * them, and gives all of them the same response. It remembers for each copy that is marked as sent again how
 * it ended, but may forget that it rejected the first one: only a report on a copy that was sent again shows
 * that no other copy will run.
 */
class SentCopies
{
public:
  /** Records that a copy is sent, and returns its number. */
  int RecordSent();

  /** Returns whether the copy that is sent next must be marked as sent again. */
  bool IsRepeating() const { return m_isRepeating; }

  /** Returns whether the call may have run at the gate. */
  bool MayHaveRun() const { return m_mayHaveRun; }

  /** Handles that the gate acknowledges nothing of a copy. */
  NextStep OnSilence(int aCopy);

  /** Handles the end of a copy's attempt. */
  NextStep OnEnd(int aCopy, CopyEnd aEnd);

  /**
   * Begins to send one more copy, as a step has demanded, and returns the number that it gets. It must not be
   * sent if IsDue() returns false by then.
   */
  int BeginCopy();
  bool IsDue(int aCopy) const { return m_dueCopy == aCopy; }

  /** Records that the copy that is due can't be sent; returns whether to wait or to give up. */
  NextStep CancelDueCopy();

private:
  /** Forgets the copies at a gate at which none will run. */
  NextStep LeaveGate();
  /** Sends one more copy unless a later one than the given may bring the response. */
  NextStep SendUnlessLaterIsOpen(int aCopy) const;
  NextStep WaitOr(NextStep aStep) const;

  int m_lastCopy = 0;
  /** Begun and not sent yet; zero if there is none. */
  int m_dueCopy = 0;
  /** First copy that was sent to the present gate. */
  int m_firstCopy = 1;
  /** Copies whose attempts are open. */
  std::set<int> m_openCopies;
  bool m_isRepeating = false;
  bool m_mayHaveRun = false;
};

} // namespace mimosarun
