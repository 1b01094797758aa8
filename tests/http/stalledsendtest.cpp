#define BOOST_TEST_MODULE stalledsend
#include "http/forwarder.h"
#include "http/server.h"
#include "http/stallingrelay.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <string>

using namespace mimosarun;
using std::chrono::milliseconds;

/** More than the sockets of a connection hold. */
static constexpr size_t kRequestBytes = 16UL * 1024 * 1024;
static constexpr size_t kResponseBytes = 100UL * 1024;
static constexpr milliseconds kSilenceTime{ 600 };
static constexpr milliseconds kUnacknowledgedTimeout{ 4000 };

/** A server that responds to each whole request with a body of one size. */
class RespondingServer
{
public:
  RespondingServer()
  {
    const auto handle = [](const ExchangePointer& aExchange) {
      const bool isWhole = aExchange->Request().body.size() == kRequestBytes;
      aExchange->Respond(
        { .status = isWhole ? 200 : 400, .headers = {}, .body = std::string(kResponseBytes, 'x') });
    };
    m_server =
      HttpServer::Start({ .address = m_address, .handler = handle, .limits = { .bodyBytes = kRequestBytes } })
        .value();
  }

  const Address& ListenAddress() const { return m_address; }

private:
  const Address m_address = RawServer::FreeAddress();
  std::unique_ptr<HttpServer> m_server;
};

/** Records what a transfer tells its listener. */
class SilenceRecorder : public ForwardListener
{
public:
  HeadAction OnHead(const HttpResponseHead& aHead) override
  {
    status = aHead.status;
    return HeadAction::Accept;
  }
  bool OnBody(std::string_view aBytes) override
  {
    bodyBytes += aBytes.size();
    return true;
  }
  void OnSilence() override
  {
    ++silences;
    silentAt = SteadyClock::now();
  }
  void OnEnd(ForwardResult aResult) override { result.set_value(aResult); }

  int status = 0;
  size_t bodyBytes = 0;
  int silences = 0;
  Deadline silentAt{};
  std::promise<ForwardResult> result;
};

/** A large request to one address, from its start to its end. */
struct SentRequest
{
  SentRequest(const Address& aTo, milliseconds aTimeout)
  {
    EventLoops loops(1);
    Forwarder forwarder;
    auto result = recorder->result.get_future();
    loops.First().Dispatch([&] {
      forwarder.Start(loops.First(),
                      { .destination = aTo,
                        .request = { .method = "POST",
                                     .path = "/",
                                     .requestTarget = "/",
                                     .headers = {},
                                     .body = std::string(kRequestBytes, 'x') },
                        .deadline = startedAt + aTimeout,
                        .unacknowledgedTimeout = kUnacknowledgedTimeout,
                        .silenceTime = kSilenceTime },
                      recorder);
    });
    endResult = result.get();
    endedAt = SteadyClock::now();
    loops.Stop();
  }

  const std::shared_ptr<SilenceRecorder> recorder = std::make_shared<SilenceRecorder>();
  const Deadline startedAt = SteadyClock::now();
  Deadline endedAt{};
  ForwardResult endResult = ForwardResult::Broken;
};

// Guards against: a request is given up because its peer acknowledges nothing for a second or two.
BOOST_AUTO_TEST_CASE(a_peer_that_is_silent_for_a_while_still_answers)
{
  const RespondingServer server;
  const StallingRelay relay(server.ListenAddress(), { milliseconds(1500) });
  const SentRequest sent(relay.ListenAddress(), milliseconds(10000));
  BOOST_TEST((sent.endResult == ForwardResult::Complete));
  BOOST_TEST(sent.recorder->status == 200);
  BOOST_TEST(sent.recorder->bodyBytes == kResponseBytes);
  BOOST_TEST(sent.recorder->silences == 1);
  const auto silentAfter = sent.recorder->silentAt - sent.startedAt;
  BOOST_TEST((silentAfter >= kSilenceTime));
  BOOST_TEST((silentAfter < milliseconds(1200)));
}

// Guards against: a peer that takes a request at once is reported as silent.
BOOST_AUTO_TEST_CASE(a_peer_that_reads_is_not_silent)
{
  const RespondingServer server;
  const StallingRelay relay(server.ListenAddress(), {});
  const SentRequest sent(relay.ListenAddress(), milliseconds(10000));
  BOOST_TEST((sent.endResult == ForwardResult::Complete));
  BOOST_TEST(sent.recorder->silences == 0);
}

// Guards against: a request to a peer that is gone stays open until its deadline, however late that is.
BOOST_AUTO_TEST_CASE(a_request_to_a_peer_that_stays_silent_breaks)
{
  const RespondingServer server;
  const StallingRelay relay(server.ListenAddress(), { StallingRelay::kForever });
  const SentRequest sent(relay.ListenAddress(), milliseconds(30000));
  BOOST_TEST((sent.endResult == ForwardResult::Broken));
  BOOST_TEST(sent.recorder->silences == 1);
  BOOST_TEST((sent.endedAt - sent.startedAt >= kUnacknowledgedTimeout));
  BOOST_TEST((sent.endedAt - sent.startedAt < milliseconds(12000)));
}

// Guards against: a silent peer holds a request for longer than its deadline.
BOOST_AUTO_TEST_CASE(a_request_to_a_silent_peer_ends_at_its_deadline)
{
  const RespondingServer server;
  const StallingRelay relay(server.ListenAddress(), { StallingRelay::kForever });
  const SentRequest sent(relay.ListenAddress(), milliseconds(1000));
  BOOST_TEST((sent.endResult == ForwardResult::TimedOut));
  BOOST_TEST(sent.recorder->silences == 1);
  BOOST_TEST((sent.endedAt - sent.startedAt < milliseconds(2000)));
}
