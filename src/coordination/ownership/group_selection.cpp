#include "coordination/ownership/group_selection.h"

#include <algorithm>
#include <tuple>

#include "coordination/ownership/ownership_groups.h"

namespace greengage::coordination {

namespace {

bool
Contains(const std::vector<ProcessInfo>& aList, const state::ProcessId& aId)
{
  return std::any_of(aList.begin(), aList.end(), [&](const auto& aInfo) {
    return aInfo.id == aId;
  });
}

bool
IsEntry(const ProcessInfo& aInfo)
{
  return aInfo.role == ProcessRole::eEntry;
}

/** Returns the number of entries other than the first member. */
std::size_t
CountOtherEntries(const std::vector<ProcessInfo>& aMembers,
                  const state::ProcessId& aFirst)
{
  return std::count_if(
    aMembers.begin(), aMembers.end(), [&](const auto& aInfo) {
      return IsEntry(aInfo) && aInfo.id != aFirst;
    });
}

std::vector<ProcessInfo>
EligibleProcesses(const state::ProcessId& aFirst,
                  const std::vector<ProcessInfo>& aAlive)
{
  std::vector<ProcessInfo> eligible;
  for (const ProcessInfo& info : aAlive) {
    if (!info.draining && info.id != aFirst) {
      eligible.push_back(info);
    }
  }
  return eligible;
}

/**
 * Returns the process to add to a group next, or null if there is none. The
 * process with the lowest rank is chosen.
 */
const ProcessInfo*
BestAddition(const std::vector<ProcessInfo>& aChosen,
             const std::vector<ProcessInfo>& aCurrent,
             const std::vector<ProcessInfo>& aEligible)
{
  bool entryNeeded = CountOtherEntries(aChosen, aChosen.front().id) == 0;
  auto rank = [&](const ProcessInfo& aInfo) {
    auto sameCentre =
      std::count_if(aChosen.begin(), aChosen.end(), [&](const auto& aOther) {
        return aOther.dataCentre == aInfo.dataCentre;
      });
    auto sameRack =
      std::count_if(aChosen.begin(), aChosen.end(), [&](const auto& aOther) {
        return aOther.dataCentre == aInfo.dataCentre &&
               aOther.rack == aInfo.rack;
      });
    return std::tuple(entryNeeded && !IsEntry(aInfo),
                      !Contains(aCurrent, aInfo.id),
                      sameCentre,
                      sameRack,
                      !IsEntry(aInfo),
                      aInfo.id);
  };
  const ProcessInfo* best = nullptr;
  for (const ProcessInfo& info : aEligible) {
    if (Contains(aChosen, info.id)) {
      continue;
    }
    if (!best || rank(info) < rank(*best)) {
      best = &info;
    }
  }
  return best;
}

}

std::vector<ProcessInfo>
ChooseMembers(const ProcessInfo& aFirst,
              const std::vector<ProcessInfo>& aCurrent,
              const std::vector<ProcessInfo>& aAlive)
{
  auto eligible = EligibleProcesses(aFirst.id, aAlive);
  std::vector<ProcessInfo> chosen{ aFirst };
  while (chosen.size() < kGroupSize) {
    const ProcessInfo* best = BestAddition(chosen, aCurrent, eligible);
    if (!best) {
      break;
    }
    chosen.push_back(*best);
  }
  return chosen;
}

bool
NeedsNewGroup(const ProcessInfo& aSelf,
              const std::vector<ProcessInfo>& aCurrent,
              const std::vector<ProcessInfo>& aAlive)
{
  auto eligible = EligibleProcesses(aSelf.id, aAlive);
  bool selfIncluded = Contains(aCurrent, aSelf.id);
  bool memberUnavailable = std::any_of(
    aCurrent.begin(), aCurrent.end(), [&](const ProcessInfo& aMember) {
      return aMember.id != aSelf.id && !Contains(eligible, aMember.id);
    });
  bool tooSmall = aCurrent.size() < std::min(kGroupSize, eligible.size() + 1);
  // Without a second candidate no other process could become the owner.
  bool noSuccessor = CountOtherEntries(aCurrent, aSelf.id) == 0 &&
                     CountOtherEntries(eligible, aSelf.id) > 0;
  return !selfIncluded || memberUnavailable || tooSmall || noSuccessor;
}

}
