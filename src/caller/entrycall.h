#pragma once

#include "caller/balancer.h"
#include "caller/callhistory.h"
#include "configuration/snapshot.h"
#include "http/forwarder.h"
#include "http/refusal.h"
#include "http/server.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

class Entry;
class EntryAttempt;

/** One call at its entry: its attempts at gates, one of which gives the answer. */
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
  struct Options
  {
    std::string call;
    SnapshotPointer snapshot;
    /** Of the snapshot. */
    const Route* route = nullptr;
    Deadline deadline;
  };

  EntryCall(Entry& aEntry, ExchangePointer aExchange, Options aOptions);
  ~EntryCall();

  /** Sends the first attempt. */
  void Begin();

  /** The caller has gone. */
  void Cancelled();

private:
  friend class EntryAttempt;

  /** How far a further attempt may go. */
  enum class Reach
  {
    Region,
    Anywhere,
  };

  bool LaunchLocked(Reach aReach = Reach::Anywhere);
  void LaunchHedge();
  void WatchForSilence(const std::shared_ptr<EntryAttempt>& aAttempt);
  void OnHalfTime();
  void OnSilence(const std::weak_ptr<EntryAttempt>& aAttempt);
  void OnDeadline();
  HttpRequest GateRequest(Deadline aNow) const;

  void OnAttemptHead(EntryAttempt& aAttempt, const HttpHead& aHead);
  bool OnAttemptBody(EntryAttempt& aAttempt, std::string_view aBytes);
  void OnAttemptEnd(EntryAttempt& aAttempt, ForwardEnd aEnd);

  void OnRefusal(EntryAttempt& aAttempt);
  void OnFailure(EntryAttempt& aAttempt, ForwardEnd aEnd);
  bool TryAgainLocked();
  void RefuseLocked(int aStatus, const std::string& aReason);
  void AnswerLocked(EntryAttempt& aAttempt, const HttpHead& aHead);
  void DropOthersLocked(const EntryAttempt* aKept);
  void Record(int aStatus, const std::string& aOutcome, const std::string& aReason);

  Entry& m_entry;
  const ExchangePointer m_exchange;
  const Options m_options;
  const Deadline m_began;
  std::mutex m_mutex;
  std::vector<std::shared_ptr<EntryAttempt>> m_attempts;
  std::set<std::string> m_excluded;
  int64_t m_retriesLeft = 0;
  /** Whether an attempt that gave no answer may have run. */
  bool m_mayHaveRun = false;
  bool m_decided = false;
  EntryAttempt* m_winner = nullptr;
  CallRecord m_record;
};

/** One attempt of a call at one gate. */
class EntryAttempt : public ForwardListener
{
public:
  EntryAttempt(std::shared_ptr<EntryCall> aCall, GateInfo aGate);

  void OnHead(const HttpHead& aHead) override;
  bool OnBody(std::string_view aBytes) override;
  void OnEnd(ForwardEnd aEnd) override;

private:
  friend class EntryCall;

  std::shared_ptr<EntryCall> m_call;
  const GateInfo m_gate;
  const Deadline m_sentAt;
  ForwardTicket m_ticket;
  bool m_answering = false;
  /** The gate refused the call as not run. */
  bool m_notRun = false;
  /** The gate can't tell whether the call ran. */
  bool m_unknown = false;
  HttpHead m_head;
  std::string m_refusalBody;
};

} // namespace mimosarun
