#include "control/raftmessages.h"

namespace mimosarun {

wire::SnapshotFile
MakeGroupOf(const std::vector<std::string>& aNames)
{
  wire::SnapshotFile initial;
  for (const std::string& name : aNames) {
    initial.members.emplace_back();
    initial.members.back().name = name;
    initial.members.back().incarnation = 1;
  }
  return initial;
}

wire::RaftMessage
MakeRaftMessage(wire::RaftKind::type aKind,
                const std::string& aSender,
                const std::string& aReceiver,
                int64_t aTerm)
{
  wire::RaftMessage message;
  message.kind = aKind;
  message.sender = aSender;
  message.senderIncarnation = 1;
  message.receiver = aReceiver;
  message.receiverIncarnation = 1;
  message.term = aTerm;
  return message;
}

wire::LogEntry
MakeLogEntry(int64_t aIndex, int64_t aTerm)
{
  wire::LogEntry entry;
  entry.index = aIndex;
  entry.term = aTerm;
  return entry;
}

} // namespace mimosarun
