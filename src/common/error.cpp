#include "common/error.h"

namespace mimosarun {

const char*
Name(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidInput:
      return "invalid-input";
    case ErrorKind::FileUnreadable:
      return "file-unreadable";
    case ErrorKind::CorruptData:
      return "corrupt-data";
    case ErrorKind::StorageFailed:
      return "storage-failed";
    case ErrorKind::Unreachable:
      return "unreachable";
    case ErrorKind::NotLeader:
      return "not-leader";
    case ErrorKind::OutcomeUnknown:
      return "outcome-unknown";
    case ErrorKind::StaleBase:
      return "stale-base";
    case ErrorKind::NotFound:
      return "not-found";
    case ErrorKind::Conflict:
      return "conflict";
  }
  return "unknown";
}

} // namespace mimosarun
