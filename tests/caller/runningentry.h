#pragma once

#include "caller/entry.h"
#include "harness/rawserver.h"
#include "harness/testclient.h"

#include <memory>
#include <utility>
#include <vector>

namespace mimosarun {

inline constexpr const char* kRunningEntryDocument = R"({
  "services": { "books": { "homeRegion": "east" } },
  "routes": {
    "items": { "pathPrefix": "/items", "service": "books", "idempotent": true, "timeoutMs": 2000 }
  }})";

/** An entry with the gates of one service. */
class RunningEntry
{
public:
  RunningEntry()
  {
    m_entry = Entry::Start({ .address = m_address,
                             .node = "entry",
                             .loops = &m_loops,
                             .forwarder = &m_forwarder,
                             .metrics = &m_metrics,
                             .codec = CallerCodecOf<NativeCallerProtocol>() })
                .value();
    m_entry->SetSnapshot(MakeSnapshot(1, kRunningEntryDocument).value());
  }

  ~RunningEntry()
  {
    m_entry->Stop();
    m_loops.Stop();
  }

  RunningEntry(const RunningEntry&) = delete;
  RunningEntry& operator=(const RunningEntry&) = delete;

  void SetGates(const std::vector<GateInfo>& aGates)
  {
    auto directory = std::make_shared<GateDirectory>();
    directory->gates["books"] = aGates;
    m_entry->SetDirectory(std::move(directory));
  }

  Entry& Get() { return *m_entry; }
  const Address& ListenAddress() const { return m_address; }

  /** Sends calls one after the other and returns how many had the response of a target. */
  int Call(int aCount)
  {
    int answered = 0;
    for (int call = 0; call < aCount; ++call) {
      answered += m_client.Send(m_address, { .path = "/items/1" }).status == 200 ? 1 : 0;
    }
    return answered;
  }

private:
  const Address m_address = RawServer::FreeAddress();
  TestClient m_client;
  EventLoops m_loops{ 1 };
  Forwarder m_forwarder;
  Metrics m_metrics;
  std::unique_ptr<Entry> m_entry;
};

} // namespace mimosarun
