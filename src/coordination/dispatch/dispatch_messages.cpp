#include "coordination/dispatch/dispatch_messages.h"

namespace greengage::coordination {

const char*
ToString(RunEndKind aKind)
{
  switch (aKind) {
    case RunEndKind::eDone:
      return "done";
    case RunEndKind::eFailed:
      return "failed";
    case RunEndKind::eStopped:
      return "stopped";
    case RunEndKind::eLost:
      return "lost";
    case RunEndKind::eNoFreeCapacity:
      return "no_room";
    case RunEndKind::eRefused:
      return "refused";
    case RunEndKind::eOutdated:
      return "outdated";
    case RunEndKind::eUnanswered:
      return "unanswered";
  }
  return "unknown";
}

}
