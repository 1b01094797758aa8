#define BOOST_TEST_MODULE callrecord
#include "caller/entry.h"
#include "harness/rawserver.h"
#include "harness/testclient.h"
#include "hop/hopheaders.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>

using namespace mimosarun;

static const std::string kServices = R"({
  "services": { "books": { "homeRegion": "east" } },
  "routes": {
    "items": { "pathPrefix": "/items", "service": "books", "idempotent": true, "timeoutMs": 2000 }
  })";

static const std::string kTeams = R"(, "teams": { "till": { "keys": ["till-key"] } })";

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

  GateDirectoryPointer Directory() const
  {
    auto directory = std::make_shared<GateDirectory>();
    directory->gates["books"] = { { .node = "gate", .target = "books-1", .address = m_address } };
    return directory;
  }

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
  entry.SetDirectory(gate.Directory());
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
