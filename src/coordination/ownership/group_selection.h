#pragma once

#include <vector>

#include "coordination/ownership/ownership_record.h"

namespace greengage::coordination {

/**
 * Members of the next ownership group, aFirst first. Processes of the current
 * group are kept if they are alive. At least one other entry is included if
 * there is one; other data centres and racks are preferred. Draining
 * processes are left out.
 */
std::vector<ProcessInfo>
ChooseMembers(const ProcessInfo& aFirst,
              const std::vector<ProcessInfo>& aCurrent,
              const std::vector<ProcessInfo>& aAlive);

/** True if a better group than the current one can be formed. */
bool
NeedsNewGroup(const ProcessInfo& aSelf,
              const std::vector<ProcessInfo>& aCurrent,
              const std::vector<ProcessInfo>& aAlive);

}
