#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Returns the initial state of a group of voters, whose incarnation is 1. */
wire::SnapshotFile
MakeGroupOf(const std::vector<std::string>& aNames);

/** Returns a message between two replicas whose incarnation is 1. */
wire::RaftMessage
MakeRaftMessage(wire::RaftKind::type aKind,
                const std::string& aSender,
                const std::string& aReceiver,
                int64_t aTerm);

/** Returns an entry of a term without a command. */
wire::LogEntry
MakeLogEntry(int64_t aIndex, int64_t aTerm);

} // namespace mimosarun
