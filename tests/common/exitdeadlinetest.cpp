#define BOOST_TEST_MODULE exitdeadline
#include "process/exitdeadline.h"

#include <boost/test/unit_test.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <optional>

using namespace mimosarun;
using std::chrono::milliseconds;

/** Exit code of a child that wasn't ended by its deadline. */
static constexpr int kNotEnded = 7;

/** Runs a child that waits for 2 s with a deadline, which it may cancel at once; returns the exit code. */
static int
ExitCodeOfChild(milliseconds aDeadline, bool aCancels)
{
  const pid_t child = ::fork();
  if (child == 0) {
    std::optional<ExitDeadline> deadline(std::in_place, SteadyClock::now() + aDeadline);
    if (aCancels) {
      deadline.reset();
    }
    ::usleep(2000000);
    ::_exit(kNotEnded);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WEXITSTATUS(status);
}

BOOST_AUTO_TEST_CASE(a_process_whose_threads_hang_ends_at_the_deadline)
{
  BOOST_TEST(ExitCodeOfChild(milliseconds(100), false) == 0);
}

BOOST_AUTO_TEST_CASE(a_cancelled_deadline_ends_nothing)
{
  BOOST_TEST(ExitCodeOfChild(milliseconds(100), true) == kNotEnded);
}
