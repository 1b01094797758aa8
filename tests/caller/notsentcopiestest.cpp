#define BOOST_TEST_MODULE notsentcopies
#include "caller/sentcopies.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;

BOOST_TEST_DONT_PRINT_LOG_VALUE(NextStep)

// Guards against: a call that certainly didn't run is reported as unknown, since copies of it that no
// connection could be made for count as sent.
BOOST_AUTO_TEST_CASE(a_rejection_of_the_only_copy_that_was_sent_is_final)
{
  SentCopies copies;
  const int first = copies.RecordSent();
  BOOST_TEST(copies.OnSilence(first) == NextStep::SendCopy);
  const int second = copies.BeginCopy();
  BOOST_TEST(copies.RecordSent() == second);
  copies.OnEnd(second, CopyEnd::NotSent);
  BOOST_TEST(copies.OnEnd(first, CopyEnd::NotRun) == NextStep::UseOtherGate);
  BOOST_TEST(!copies.MayHaveRun());
}
