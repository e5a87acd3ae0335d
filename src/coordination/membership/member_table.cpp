#include "coordination/membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/**
 * Dead members are contacted until they are removed, as a partition may last
 * for minutes.
 */
constexpr std::chrono::minutes kDeadRetention{ 30 };

bool
IsLive(const MemberUpdate& aUpdate)
{
  return aUpdate.memberState <= MemberState::eSuspect;
}

std::uint64_t
RingPosition(const state::ProcessId& aId)
{
  return std::hash<state::ProcessId>()(aId) * 0x9e3779b97f4a7c15ULL;
}

bool
IsNewer(const MemberUpdate& aUpdate, const MemberUpdate& aKnown)
{
  if (aUpdate.process.id != aKnown.process.id) {
    return IsLive(aUpdate) && aUpdate.incarnation > aKnown.incarnation;
  }
  return aKnown.memberState != MemberState::eLeft &&
         std::tie(aUpdate.incarnation, aUpdate.memberState) >
           std::tie(aKnown.incarnation, aKnown.memberState);
}

}

MemberTable::MemberTable(const state::ProcessId& aSelf)
  : selfPosition_(RingPosition(aSelf))
{
}

MemberChange
MemberTable::Merge(const MemberUpdate& aUpdate, MonotonicTime aNow)
{
  MemberChange change;
  const std::string& address = aUpdate.process.peerAddress;
  auto found = entries_.find(address);
  if (found == entries_.end()) {
    if (!IsLive(aUpdate)) {
      return change;
    }
    Entry& added = entries_[address];
    Store(added, aUpdate, aNow);
    AddLive(address, added);
    change.changed = true;
    change.urgent = true;
    return change;
  }
  Entry& entry = found->second;
  if (!IsNewer(aUpdate, entry.update)) {
    return change;
  }
  const MemberUpdate known = entry.update;
  change.changed = true;
  change.urgent = known.memberState != aUpdate.memberState ||
                  known.process != aUpdate.process;
  change.returned = !IsLive(known) && IsLive(aUpdate);
  if (known.process.id != aUpdate.process.id) {
    change.replaced = known.process.id;
  }
  if (IsLive(known)) {
    RemoveLive(address, entry);
  }
  Store(entry, aUpdate, aNow);
  if (IsLive(aUpdate)) {
    AddLive(address, entry);
  }
  return change;
}

const MemberUpdate*
MemberTable::Find(const std::string& aAddress) const
{
  auto found = entries_.find(aAddress);
  return found == entries_.end() ? nullptr : &found->second.update;
}

MemberUpdate
MemberTable::UpdateToSend(const std::string& aAddress, MonotonicTime aNow) const
{
  const Entry& entry = entries_.at(aAddress);
  MemberUpdate update = entry.update;
  if (update.memberState == MemberState::eSuspect) {
    auto left =
      std::chrono::duration_cast<milliseconds>(entry.suspicionEnd - aNow);
    update.suspectFor =
      std::clamp(kSuspicionTime - left, milliseconds(0), kSuspicionTime);
  }
  return update;
}

std::vector<std::string>
MemberTable::Dead() const
{
  std::vector<std::string> dead;
  for (const auto& [address, entry] : entries_) {
    if (entry.update.memberState == MemberState::eDead) {
      dead.push_back(address);
    }
  }
  return dead;
}

std::vector<MemberUpdate>
MemberTable::All() const
{
  std::vector<MemberUpdate> all;
  for (const auto& [address, entry] : entries_) {
    all.push_back(entry.update);
  }
  return all;
}

std::vector<std::string>
MemberTable::RingSuccessors(std::size_t aLimit) const
{
  std::vector<std::string> successors;
  auto next = ring_.upper_bound({ selfPosition_, std::string() });
  while (successors.size() < std::min(aLimit, ring_.size())) {
    if (next == ring_.end()) {
      next = ring_.begin();
    }
    successors.push_back(next->second);
    if (!suspects_.contains(next->second)) {
      break;
    }
    ++next;
  }
  return successors;
}

std::vector<MemberUpdate>
MemberTable::SuspicionsDue(MonotonicTime aNow) const
{
  std::vector<MemberUpdate> due;
  for (const std::string& address : suspects_) {
    const Entry& entry = entries_.at(address);
    if (entry.suspicionEnd <= aNow) {
      due.push_back(entry.update);
    }
  }
  return due;
}

void
MemberTable::ExtendSuspicions(std::chrono::nanoseconds aTime)
{
  for (const std::string& address : suspects_) {
    entries_.at(address).suspicionEnd += aTime;
  }
}

void
MemberTable::Expire(MonotonicTime aNow)
{
  std::erase_if(entries_, [&](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    return !IsLive(entry.update) && aNow - entry.stateSince >= kDeadRetention;
  });
}

void
MemberTable::Store(Entry& aEntry,
                   const MemberUpdate& aUpdate,
                   MonotonicTime aNow)
{
  aEntry.update = aUpdate;
  aEntry.update.suspectFor = milliseconds(0);
  aEntry.stateSince = aNow;
  if (aUpdate.memberState == MemberState::eSuspect) {
    aEntry.suspicionEnd =
      aNow + kSuspicionTime - std::min(aUpdate.suspectFor, kSuspicionTime);
  }
}

void
MemberTable::AddLive(const std::string& aAddress, Entry& aEntry)
{
  aEntry.livePosition = live_.size();
  live_.push_back(aAddress);
  ring_.emplace(RingPosition(aEntry.update.process.id), aAddress);
  if (aEntry.update.memberState == MemberState::eSuspect) {
    suspects_.insert(aAddress);
  }
}

void
MemberTable::RemoveLive(const std::string& aAddress, Entry& aEntry)
{
  const std::string& last = live_.back();
  entries_.at(last).livePosition = aEntry.livePosition;
  live_[aEntry.livePosition] = last;
  live_.pop_back();
  ring_.erase({ RingPosition(aEntry.update.process.id), aAddress });
  suspects_.erase(aAddress);
}

}
