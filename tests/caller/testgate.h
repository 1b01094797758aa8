#pragma once

#include "harness/rawserver.h"
#include "http/meshheaders.h"
#include "http/server.h"
#include "target/gate.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** A target that counts its runs. */
class CountingTarget
{
public:
  struct Behaviour
  {
    std::chrono::milliseconds runTime{ 0 };
    size_t responseBytes = 10;
    int status = 200;
  };

  explicit CountingTarget(const Behaviour& aBehaviour)
  {
    const auto handle = [this, aBehaviour](const ExchangePointer& aExchange) {
      ++m_runs;
      const std::string callId = FindHeader(aExchange->Request().headers, kCallHeader);
      m_loops.First().RunAt(SteadyClock::now() + aBehaviour.runTime, [aExchange, aBehaviour, callId] {
        aExchange->Respond({ .status = aBehaviour.status,
                             .headers = { { .name = kCallHeader, .value = callId } },
                             .body = std::string(aBehaviour.responseBytes, 'x') });
      });
    };
    m_server = HttpServer::Start({ .address = m_address, .handler = handle, .loops = &m_loops }).value();
  }

  ~CountingTarget()
  {
    m_server.reset();
    m_loops.Stop();
  }

  CountingTarget(const CountingTarget&) = delete;
  CountingTarget& operator=(const CountingTarget&) = delete;

  const Address& ListenAddress() const { return m_address; }
  int Runs() const { return m_runs; }

private:
  const Address m_address = RawServer::FreeAddress();
  std::atomic<int> m_runs{ 0 };
  EventLoops m_loops{ 1 };
  std::unique_ptr<HttpServer> m_server;
};

/** A gate with its target, in this process. */
class TestGate
{
public:
  struct Options
  {
    CountingTarget::Behaviour target;
    std::string name = "gate";
    int slots = 4;
    bool isReady = true;
    /** With more than one, the copies of a call can arrive on different loops. */
    unsigned int loops = 2;
    /** Another target in place of the one that counts its runs. */
    std::optional<Address> targetAddress;
  };

  /** Incarnations of the gate: the one with which its process started and the current one. */
  static constexpr int64_t kFirstIncarnation = 10000;
  static constexpr int64_t kIncarnation = 12000;

  explicit TestGate(const Options& aOptions)
    : m_options(aOptions)
    , m_target(aOptions.target)
  {
    m_gate =
      Gate::Start({ .address = m_address,
                    .loops = &m_loops,
                    .forwarder = &m_forwarder,
                    .metrics = &m_metrics,
                    .codec = TargetCodecOf<NativeTargetProtocol>(),
                    .onTargetLost = [](const std::string&) {},
                    .onTargetLeaving = [](const std::string&) {},
                    .onTargetCrashed = [this](const wire::TargetCrash& aCrash) { RecordCrash(aCrash); },
                    .incarnation = [] { return kIncarnation; },
                    .firstIncarnation = [] { return kFirstIncarnation; } })
        .value();
    SetReady(aOptions.isReady);
  }

  ~TestGate()
  {
    m_gate->Stop();
    m_loops.Stop();
  }

  TestGate(const TestGate&) = delete;
  TestGate& operator=(const TestGate&) = delete;

  void SetReady(bool aIsReady)
  {
    m_gate->SetTarget({ .name = TargetName(),
                        .service = "books",
                        .address = m_options.targetAddress.value_or(m_target.ListenAddress()),
                        .slots = m_options.slots,
                        .phase = aIsReady ? wire::TargetPhase::Ready : wire::TargetPhase::Draining });
  }

  std::string TargetName() const { return m_options.name + "-target"; }
  const Address& ListenAddress() const { return m_address; }
  int Runs() const { return m_target.Runs(); }
  int OpenCalls() const { return m_gate->OpenCalls(); }
  std::string MetricsText() const { return m_metrics.Text(); }

  /** Returns the ends of the target that the gate has reported. */
  std::vector<wire::TargetCrash> Crashes() const
  {
    const std::lock_guard lock(m_mutex);
    return m_crashes;
  }

private:
  void RecordCrash(const wire::TargetCrash& aCrash)
  {
    const std::lock_guard lock(m_mutex);
    m_crashes.push_back(aCrash);
  }

  const Options m_options;
  const Address m_address = RawServer::FreeAddress();
  CountingTarget m_target;
  EventLoops m_loops{ m_options.loops };
  Forwarder m_forwarder;
  Metrics m_metrics;
  mutable std::mutex m_mutex;
  std::vector<wire::TargetCrash> m_crashes;
  std::unique_ptr<Gate> m_gate;
};

} // namespace mimosarun
