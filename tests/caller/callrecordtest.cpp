#define BOOST_TEST_MODULE callrecord
#include "caller/entry.h"
#include "harness/rawserver.h"
#include "harness/testclient.h"
#include "hop/hopheaders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace mimosarun;

/** A response of this size is streamed. */
static constexpr size_t kStreamedBytes = 200UL * 1024;

static const std::string kServices = R"({
  "services": { "books": { "homeRegion": "east" } },
  "routes": {
    "items": { "pathPrefix": "/items", "service": "books", "idempotent": true, "timeoutMs": 2000 }
  })";

static const std::string kTeams = R"(, "teams": { "till": { "keys": ["till-key"] } })";

/** Returns a directory with one gate. */
static GateDirectoryPointer
DirectoryOf(const Address& aGate)
{
  auto directory = std::make_shared<GateDirectory>();
  directory->gates["books"] = { { .node = "gate", .target = "books-1", .address = aGate } };
  return directory;
}

/** A gate that responds to each request with a body of one size. */
class FakeGate
{
public:
  explicit FakeGate(size_t aBodyBytes)
  {
    const auto handle = [aBodyBytes](const ExchangePointer& aExchange) {
      HttpResponse response{ .headers = {}, .body = std::string(aBodyBytes, 'x') };
      WriteHop(response.headers, HopResponse{ .slots = 1 });
      aExchange->Respond(std::move(response));
    };
    m_server = HttpServer::Start({ .address = m_address, .handler = handle }).value();
  }

  const Address& ListenAddress() const { return m_address; }

private:
  const Address m_address = RawServer::FreeAddress();
  std::unique_ptr<HttpServer> m_server;
};

/** An entry that looks up the record of each call when it makes the response, before any byte is sent. */
class ObservedEntry
{
public:
  explicit ObservedEntry(const std::string& aDocument)
  {
    CallerCodec codec = CallerCodecOf<NativeCallerProtocol>();
    codec.refuse = [this](const RefusalDetails& aRefusal) {
      LookUp(aRefusal.callId);
      return NativeCallerProtocol::Refuse(aRefusal);
    };
    codec.finishResponse = [this](HttpResponseHead& aHead, const std::string& aCallId) {
      LookUp(aCallId);
      NativeCallerProtocol::FinishResponse(aHead, aCallId);
    };
    m_entry = Entry::Start({ .address = m_address,
                             .node = "entry",
                             .loops = &m_loops,
                             .forwarder = &m_forwarder,
                             .metrics = &m_metrics,
                             .codec = codec })
                .value();
    m_entry->SetSnapshot(MakeSnapshot(1, aDocument).value());
  }

  ~ObservedEntry()
  {
    m_entry->Stop();
    m_loops.Stop();
  }

  ObservedEntry(const ObservedEntry&) = delete;
  ObservedEntry& operator=(const ObservedEntry&) = delete;

  void SetDirectory(const GateDirectoryPointer& aDirectory) { m_entry->SetDirectory(aDirectory); }
  std::optional<CallRecord> Find(const std::string& aCallId) const
  {
    return m_entry->History().Find(aCallId);
  }
  const Address& ListenAddress() const { return m_address; }

  int Responses() const { return m_responses; }
  /** Returns how many responses were made while the entry held no record of their call. */
  int ResponsesWithoutRecord() const { return m_responsesWithoutRecord; }

private:
  void LookUp(const std::string& aCallId)
  {
    ++m_responses;
    m_responsesWithoutRecord += Find(aCallId) ? 0 : 1;
  }

  const Address m_address = RawServer::FreeAddress();
  std::atomic<int> m_responses{ 0 };
  std::atomic<int> m_responsesWithoutRecord{ 0 };
  EventLoops m_loops{ 1 };
  Forwarder m_forwarder;
  Metrics m_metrics;
  std::unique_ptr<Entry> m_entry;
};

// Guards against an operator who asks about a call at once and is told that the entry holds no such call.
BOOST_AUTO_TEST_CASE(a_refused_call_is_recorded_before_its_response_is_made)
{
  ObservedEntry entry(kServices + "}");
  const TestResponse response = Send(entry.ListenAddress(), { .path = "/items/1" });
  BOOST_TEST(response.status == 503);
  BOOST_TEST(entry.Responses() == 1);
  BOOST_TEST(entry.ResponsesWithoutRecord() == 0);
  BOOST_REQUIRE(entry.Find(response.callId).has_value());
  BOOST_TEST(entry.Find(response.callId)->outcome == "not-run");
}

// Guards against the same for a call whose target responds.
BOOST_AUTO_TEST_CASE(a_complete_call_is_recorded_before_its_response_is_made)
{
  const FakeGate gate(100);
  ObservedEntry entry(kServices + "}");
  entry.SetDirectory(DirectoryOf(gate.ListenAddress()));
  const TestResponse response = Send(entry.ListenAddress(), { .path = "/items/1" });
  BOOST_TEST(response.status == 200);
  BOOST_TEST(entry.Responses() == 1);
  BOOST_TEST(entry.ResponsesWithoutRecord() == 0);
  BOOST_REQUIRE(entry.Find(response.callId).has_value());
  BOOST_TEST(entry.Find(response.callId)->outcome == "complete");
}

// Guards against the same for a request without a valid key.
BOOST_AUTO_TEST_CASE(a_call_with_a_wrong_key_is_recorded_before_its_response_is_made)
{
  ObservedEntry entry(kServices + kTeams + "}");
  const TestResponse response =
    Send(entry.ListenAddress(), { .path = "/items/1", .headers = { "Authorization: Bearer wrong" } });
  BOOST_TEST(response.status == 401);
  BOOST_TEST(entry.Responses() == 1);
  BOOST_TEST(entry.ResponsesWithoutRecord() == 0);
}

// Guards against a streamed response whose last byte arrives before its call is recorded.
BOOST_AUTO_TEST_CASE(a_streamed_call_is_recorded_before_its_response_begins)
{
  constexpr int kCalls = 100;
  const FakeGate gate(kStreamedBytes);
  ObservedEntry entry(kServices + "}");
  entry.SetDirectory(DirectoryOf(gate.ListenAddress()));
  TestClient client;
  std::vector<std::string> calls;
  for (int call = 0; call < kCalls; ++call) {
    const TestResponse response = client.Send(entry.ListenAddress(), { .path = "/items/1" });
    BOOST_TEST(response.transferComplete);
    BOOST_TEST(response.body.size() == kStreamedBytes);
    BOOST_TEST(entry.Find(response.callId).has_value());
    calls.push_back(response.callId);
  }
  BOOST_TEST(entry.Responses() == kCalls);
  BOOST_TEST(entry.ResponsesWithoutRecord() == 0);
  BOOST_TEST(WaitUntil(std::chrono::seconds(5), [&] {
    return std::all_of(calls.begin(), calls.end(), [&](const std::string& aCallId) {
      return entry.Find(aCallId).value_or(CallRecord{}).outcome == "complete";
    });
  }));
}

// Guards against a call that seems to be streaming after its caller has left.
BOOST_AUTO_TEST_CASE(a_call_whose_caller_leaves_during_the_response_is_recorded_as_cut)
{
  HttpHeaders headers;
  WriteHop(headers, HopResponse{ .slots = 1 });
  const EndlessServer gate("HTTP/1.1 200 OK\r\n" + headers.front().name + ": " + headers.front().value +
                             "\r\n\r\n",
                           std::string(kStreamedBytes, 'x'));
  ObservedEntry entry(kServices + "}");
  entry.SetDirectory(DirectoryOf(gate.ListenAddress()));
  std::string callId;
  {
    const RawConnection caller(entry.ListenAddress());
    caller.Send("GET /items/1 HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string head = caller.ReceiveUntil("\r\n\r\n", std::chrono::seconds(5));
    const std::string name = "Mimosarun-Call: ";
    const size_t begin = head.find(name);
    BOOST_REQUIRE(begin != std::string::npos);
    callId = head.substr(begin + name.size(), head.find("\r\n", begin) - begin - name.size());
    BOOST_REQUIRE(entry.Find(callId).has_value());
    BOOST_TEST(entry.Find(callId)->outcome == "streaming");
  }
  BOOST_TEST(WaitUntil(std::chrono::seconds(5), [&] { return entry.Find(callId)->outcome == "cut"; }));
}
