#define BOOST_TEST_MODULE acknowledgementwatch
#include "http/acknowledgementwatch.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kStart{ std::chrono::hours(1) };

// Guards against: a peer that acknowledges nothing at all isn't noticed.
BOOST_AUTO_TEST_CASE(silence_lasts_from_the_start_if_nothing_is_acknowledged)
{
  AcknowledgementWatch watch(kStart);
  watch.Record(1000, 1000, kStart + milliseconds(100));
  // The kernel takes more bytes, but the peer doesn't.
  watch.Record(3000, 3000, kStart + milliseconds(200));
  BOOST_TEST((watch.LastProgressAt() == kStart));
}

// Guards against: a long body that the peer takes steadily is mistaken for a silent peer, as there are
// always as many unacknowledged bytes.
BOOST_AUTO_TEST_CASE(silence_ends_with_every_acknowledged_byte)
{
  AcknowledgementWatch watch(kStart);
  watch.Record(1000, 1000, kStart + milliseconds(100));
  watch.Record(2000, 1000, kStart + milliseconds(200));
  BOOST_TEST((watch.LastProgressAt() == kStart + milliseconds(200)));
  watch.Record(2000, 1000, kStart + milliseconds(300));
  BOOST_TEST((watch.LastProgressAt() == kStart + milliseconds(200)));
}

// Guards against: a peer that has everything and is at work is taken for silent.
BOOST_AUTO_TEST_CASE(a_peer_that_lacks_nothing_is_not_silent)
{
  AcknowledgementWatch watch(kStart);
  watch.Record(1000, 0, kStart + milliseconds(100));
  watch.Record(1000, 0, kStart + milliseconds(900));
  BOOST_TEST((watch.LastProgressAt() == kStart + milliseconds(900)));
}

// Guards against: bytes that the kernel holds, and whose write hasn't been reported yet, count as progress.
BOOST_AUTO_TEST_CASE(more_unacknowledged_than_reported_bytes_are_no_progress)
{
  AcknowledgementWatch watch(kStart);
  watch.Record(1000, 400, kStart + milliseconds(100));
  watch.Record(1000, 1400, kStart + milliseconds(200));
  watch.Record(2000, 1400, kStart + milliseconds(300));
  BOOST_TEST((watch.LastProgressAt() == kStart + milliseconds(100)));
}
