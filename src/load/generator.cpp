#include "load/generator.h"

#include "common/random.h"
#include "http/meshheaders.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace mimosarun {

static constexpr const char* kTokenHeader = "X-Token";
/** Kept of the body: the token of an answer, or the whole of a refusal. */
static constexpr size_t kStartBytes = 512;
static constexpr std::chrono::seconds kDrainTime{ 40 };
static constexpr std::chrono::milliseconds kDrainPoll{ 5 };
/** Time beyond its timeout after which a call that has no answer counts as broken. */
static constexpr std::chrono::milliseconds kGrace{ 2000 };

/** One call of a generator. */
class LoadCall : public ForwardListener
{
public:
  LoadCall(Generator& aGenerator, TallyKey aKey, std::string aToken, Deadline aDue)
    : m_generator(aGenerator)
    , m_key(std::move(aKey))
    , m_token(std::move(aToken))
    , m_due(aDue)
  {
  }

  HeadVerdict OnHead(const HttpHead& aHead) override
  {
    m_head = aHead;
    return HeadVerdict::Accept;
  }

  bool OnBody(std::string_view aBytes) override
  {
    m_received += aBytes.size();
    if (m_start.size() < kStartBytes) {
      m_start.append(aBytes.substr(0, kStartBytes - m_start.size()));
    }
    return true;
  }

  void OnEnd(ForwardEnd aEnd) override
  {
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - m_due);
    const std::string outcome = FindHeader(m_head.headers, kOutcomeHeader);
    m_generator.Count(m_key, [&](LoadTally& aTally) {
      if (aEnd != ForwardEnd::Complete) {
        ++aTally.broken;
      } else if (outcome == kOutcomeNotRun) {
        ++aTally.notRun;
        ++aTally.reasons[Reason()];
      } else if (outcome == kOutcomeUnknown) {
        ++aTally.unknown;
        ++aTally.reasons[Reason()];
      } else if (!IsOwn()) {
        ++aTally.wrong;
      } else {
        ++aTally.complete;
        aTally.latencies.Add(time);
      }
    });
    --m_generator.m_open;
  }

private:
  bool IsOwn() const
  {
    const bool whole = !m_head.length || *m_head.length == m_received;
    return whole && FindHeader(m_head.headers, kTokenHeader) == m_token && m_start.starts_with(m_token);
  }

  std::string Reason() const
  {
    const nlohmann::json body = nlohmann::json::parse(m_start, nullptr, false);
    return body.is_object() ? body.value("reason", "none given") : "none given";
  }

  Generator& m_generator;
  const TallyKey m_key;
  const std::string m_token;
  const Deadline m_due;
  HttpHead m_head;
  std::string m_start;
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

Generator::Generator(Workload aWorkload, unsigned int aThreads)
  : m_workload(std::move(aWorkload))
  , m_random(m_workload.seed)
  , m_runName(RandomIdentifier().substr(0, 8))
  , m_loops(aThreads)
{
  const std::vector<double> weights = Weights(m_workload);
  m_chooseKind = std::discrete_distribution<size_t>(weights.begin(), weights.end());
}

void
Generator::Count(const TallyKey& aKey, const std::function<void(LoadTally&)>& aChange)
{
  const std::lock_guard lock(m_mutex);
  aChange(m_report[aKey]);
}

void
Generator::StartCall(const LoadPhase& aPhase, Deadline aDue)
{
  const RequestKind& kind = m_workload.kinds[m_chooseKind(m_random)];
  const std::string token = m_runName + "-" + std::to_string(++m_calls);
  HttpRequest request{ .method = kind.method, .path = kind.path, .target = kind.path, .body = kind.body };
  request.headers.push_back({ .name = kTokenHeader, .value = token });
  request.headers.push_back({ .name = kTimeoutHeader, .value = std::to_string(kind.timeout.count()) });
  if (kind.keyed) {
    request.headers.push_back({ .name = kIdempotencyHeader, .value = token });
  }
  const TallyKey key{ .phase = aPhase.name, .kind = kind.name };
  Count(key, [](LoadTally& aTally) { ++aTally.offered; });
  ++m_open;
  EventLoop& loop = m_loops.Next();
  loop.Dispatch([this,
                 &loop,
                 to = m_workload.entries[m_calls % m_workload.entries.size()],
                 request = std::move(request),
                 deadline = SteadyClock::now() + kind.timeout + kGrace,
                 call = std::make_shared<LoadCall>(*this, key, token, aDue)]() mutable {
    m_forwarder.Start(loop, { .to = to, .request = std::move(request), .deadline = deadline }, call);
  });
}

void
Generator::RunPhase(const LoadPhase& aPhase, Deadline aStart)
{
  std::exponential_distribution<double> gap(static_cast<double>(aPhase.rate));
  const Deadline end = aStart + aPhase.length;
  Deadline due = aStart;
  while (true) {
    due += std::chrono::duration_cast<Deadline::duration>(std::chrono::duration<double>(gap(m_random)));
    if (due >= end) {
      std::this_thread::sleep_until(end);
      return;
    }
    std::this_thread::sleep_until(due);
    StartCall(aPhase, due);
  }
}

LoadReport
Generator::Run()
{
  Deadline start = SteadyClock::now();
  for (const LoadPhase& phase : m_workload.phases) {
    RunPhase(phase, start);
    start += phase.length;
  }
  const Deadline limit = SteadyClock::now() + kDrainTime;
  while (m_open > 0 && SteadyClock::now() < limit) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  m_loops.Stop();
  return m_report;
}

} // namespace mimosarun
