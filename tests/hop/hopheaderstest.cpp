#define BOOST_TEST_MODULE hopheaders
#include "hop/hopheaders.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mimosarun;
using std::chrono::milliseconds;

static const HopResponse kResponse{ .outcome = HopOutcome::Rejected,
                                    .slotsInUse = 5,
                                    .slots = 6,
                                    .queueLength = 2,
                                    .queueWait = milliseconds(70),
                                    .failurePenalty = milliseconds(30) };

// Guards against: nodes of two versions can't read each other's responses during an update.
BOOST_AUTO_TEST_CASE(a_response_without_the_notice_of_leaving_has_the_earlier_form)
{
  HttpHeaders headers;
  WriteHop(headers, kResponse);
  BOOST_TEST(FindHeader(headers, kHopResponseHeader) == "1 5 6 2 70 30");
  const std::optional<HopResponse> read = ExtractHopResponse(headers);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->outcome == HopOutcome::Rejected));
  BOOST_TEST((read->failurePenalty == milliseconds(30)));
  BOOST_TEST(!read->isLeaving);
}

BOOST_AUTO_TEST_CASE(a_notice_of_leaving_is_read)
{
  HopResponse response = kResponse;
  response.isLeaving = true;
  HttpHeaders headers;
  WriteHop(headers, response);
  const std::optional<HopResponse> read = ExtractHopResponse(headers);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->isLeaving);
  BOOST_TEST(read->slotsInUse == 5);
  BOOST_TEST((read->failurePenalty == milliseconds(30)));
}

// Guards against: a call whose identifier, route or service has the name that stands for an empty one in the
// header, or a name with a blank, is never answered, or refused (docs/incidents/024).
BOOST_AUTO_TEST_CASE(names_are_read_as_they_were_written)
{
  for (const std::string name : { "", "-", "--", "%2d", "%", "with a blank", "caf\xc3\xa9" }) {
    HttpHeaders headers;
    WriteHop(headers,
             HopRequest{ .callId = name,
                         .service = name,
                         .route = name,
                         .priority = 3,
                         .sentToIncarnation = 17,
                         .homeRegion = name,
                         .team = "team" });
    const std::optional<HopRequest> read = ExtractHopRequest(headers);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->callId == name);
    BOOST_TEST(read->service == name);
    BOOST_TEST(read->route == name);
    BOOST_TEST(read->homeRegion == name);
    BOOST_TEST(read->sentToIncarnation == 17);
    BOOST_TEST(read->team == "team");
  }
}
