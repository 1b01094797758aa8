#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

/** Declares or assigns the value of a Result, or returns its error from the calling function. */
#define MIMOSARUN_TRY(aDeclaration, ...)                                                                     \
  BOOST_OUTCOME_TRY2_SUCCESS_LIKELY(BOOST_OUTCOME_TRY_UNIQUE_NAME, aDeclaration, __VA_ARGS__)

namespace mimosarun {

/** Kinds of errors that a caller may handle differently. */
enum class ErrorKind
{
  InvalidInput,
  FileUnreadable,
  CorruptData,
  StorageFailed,
  Unreachable,
  NotLeader,
  OutcomeUnknown,
  StaleBase,
  NotFound,
  Conflict,
};

/** An error with a message that names the location and the remedy. */
struct Error
{
  ErrorKind kind = ErrorKind::InvalidInput;
  std::string message;
};

/** Returns the name of an error kind in logs and in messages to operators. */
const char*
Name(ErrorKind aKind);

template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/** Returns a failure that converts to any Result. */
inline auto
Fail(ErrorKind aKind, std::string aMessage)
{
  return boost::outcome_v2::failure(Error{ .kind = aKind, .message = std::move(aMessage) });
}

} // namespace mimosarun
