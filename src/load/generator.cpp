#include "load/generator.h"

#include "common/random.h"
#include "http/meshheaders.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace mimosarun {

static constexpr const char* kTokenHeader = "X-Token";
/** Bytes of each body that are kept, enough for the token of a response or the whole of a refusal. */
static constexpr size_t kKeptBodyBytes = 512;
static constexpr std::chrono::seconds kDrainTimeout{ 40 };
static constexpr std::chrono::milliseconds kDrainPoll{ 5 };
/** Time after its timeout at which a call without a response is counted as broken. */
static constexpr std::chrono::milliseconds kResponseGrace{ 2000 };

/** One call of a generator. */
class LoadCall : public ForwardListener
{
public:
  LoadCall(LoadGenerator& aGenerator, TallyKey aKey, std::string aToken, Deadline aDueAt)
    : m_generator(aGenerator)
    , m_key(std::move(aKey))
    , m_token(std::move(aToken))
    , m_dueAt(aDueAt)
  {
  }

  HeadAction OnHead(const HttpResponseHead& aHead) override
  {
    m_head = aHead;
    return HeadAction::Accept;
  }

  bool OnBody(std::string_view aBytes) override
  {
    m_received += aBytes.size();
    if (m_bodyStart.size() < kKeptBodyBytes) {
      m_bodyStart.append(aBytes.substr(0, kKeptBodyBytes - m_bodyStart.size()));
    }
    return true;
  }

  void OnEnd(ForwardResult aResult) override
  {
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - m_dueAt);
    const std::string outcome = FindHeader(m_head.headers, kOutcomeHeader);
    m_generator.UpdateTally(m_key, [&](LoadTally& aTally) {
      if (aResult != ForwardResult::Complete) {
        ++aTally.broken;
      } else if (outcome == kOutcomeNotRun) {
        ++aTally.notRun;
        ++aTally.reasons[Reason()];
      } else if (outcome == kOutcomeUnknown) {
        ++aTally.unknown;
        ++aTally.reasons[Reason()];
      } else if (!IsOwnResponse()) {
        ++aTally.wrong;
      } else {
        ++aTally.complete;
        aTally.latencies.Add(latency);
      }
    });
    --m_generator.m_openCalls;
  }

private:
  bool IsOwnResponse() const
  {
    const bool isComplete = !m_head.contentLength || *m_head.contentLength == m_received;
    return isComplete && FindHeader(m_head.headers, kTokenHeader) == m_token &&
           m_bodyStart.starts_with(m_token);
  }

  std::string Reason() const
  {
    const nlohmann::json body = nlohmann::json::parse(m_bodyStart, nullptr, false);
    return body.is_object() ? body.value("reason", "none given") : "none given";
  }

  LoadGenerator& m_generator;
  const TallyKey m_key;
  const std::string m_token;
  const Deadline m_dueAt;
  HttpResponseHead m_head;
  std::string m_bodyStart;
  uint64_t m_received = 0;
};

static std::vector<double>
Weights(const Workload& aWorkload)
{
  std::vector<double> weights;
  for (const RequestKind& kind : aWorkload.kinds) {
    weights.push_back(static_cast<double>(kind.weight));
  }
  return weights;
}

LoadGenerator::LoadGenerator(Workload aWorkload, unsigned int aThreads)
  : m_workload(std::move(aWorkload))
  , m_random(m_workload.seed)
  , m_runId(RandomIdentifier().substr(0, 8))
  , m_loops(aThreads)
{
  const std::vector<double> weights = Weights(m_workload);
  m_kindDistribution = std::discrete_distribution<size_t>(weights.begin(), weights.end());
}

void
LoadGenerator::UpdateTally(const TallyKey& aKey, const std::function<void(LoadTally&)>& aChange)
{
  const std::lock_guard lock(m_mutex);
  aChange(m_report[aKey]);
}

void
LoadGenerator::StartCall(const LoadPhase& aPhase, Deadline aDueAt)
{
  const RequestKind& kind = m_workload.kinds[m_kindDistribution(m_random)];
  const std::string token = m_runId + "-" + std::to_string(++m_startedCalls);
  HttpRequest request{
    .method = kind.method, .path = kind.path, .requestTarget = kind.path, .body = kind.body
  };
  request.headers.push_back({ .name = kTokenHeader, .value = token });
  request.headers.push_back({ .name = kTimeoutHeader, .value = std::to_string(kind.timeout.count()) });
  if (kind.keyed) {
    request.headers.push_back({ .name = kIdempotencyHeader, .value = token });
  }
  const TallyKey key{ .phase = aPhase.name, .kind = kind.name };
  UpdateTally(key, [](LoadTally& aTally) { ++aTally.offered; });
  ++m_openCalls;
  EventLoop& loop = m_loops.Next();
  loop.Dispatch([this,
                 &loop,
                 to = m_workload.entries[m_startedCalls % m_workload.entries.size()],
                 request = std::move(request),
                 deadline = SteadyClock::now() + kind.timeout + kResponseGrace,
                 call = std::make_shared<LoadCall>(*this, key, token, aDueAt)]() mutable {
    m_forwarder.Start(loop, { .destination = to, .request = std::move(request), .deadline = deadline }, call);
  });
}

void
LoadGenerator::RunPhase(const LoadPhase& aPhase, Deadline aStart)
{
  std::exponential_distribution<double> nextGap(static_cast<double>(aPhase.callsPerSecond));
  const Deadline end = aStart + aPhase.duration;
  Deadline dueAt = aStart;
  while (true) {
    dueAt += std::chrono::duration_cast<Deadline::duration>(std::chrono::duration<double>(nextGap(m_random)));
    if (dueAt >= end) {
      std::this_thread::sleep_until(end);
      return;
    }
    std::this_thread::sleep_until(dueAt);
    StartCall(aPhase, dueAt);
  }
}

LoadReport
LoadGenerator::Run()
{
  Deadline start = SteadyClock::now();
  for (const LoadPhase& phase : m_workload.phases) {
    RunPhase(phase, start);
    start += phase.duration;
  }
  const Deadline drainDeadline = SteadyClock::now() + kDrainTimeout;
  while (m_openCalls > 0 && SteadyClock::now() < drainDeadline) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  m_loops.Stop();
  return m_report;
}

} // namespace mimosarun
