#pragma once

#include <vector>

#include "coordination/ownership/ownership_record.h"

namespace greengage::coordination {

/**
 * Returns the members of the next ownership group, with aFirst as the first.
 * Members of the current group that are alive are preferred, then processes in
 * other data centres and racks. The group includes at least one other entry if
 * there is one. Draining processes are not chosen.
 */
std::vector<ProcessInfo>
ChooseMembers(const ProcessInfo& aFirst,
              const std::vector<ProcessInfo>& aCurrent,
              const std::vector<ProcessInfo>& aAlive);

/** Returns true if the current group should be replaced by a new one. */
bool
NeedsNewGroup(const ProcessInfo& aSelf,
              const std::vector<ProcessInfo>& aCurrent,
              const std::vector<ProcessInfo>& aAlive);

}
