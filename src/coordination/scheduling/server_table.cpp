#include "coordination/scheduling/server_table.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

namespace {

constexpr double kClassesPerDoubling = 8;
// A server changes its class only if its speed is at least this far from the
// present class, in classes, so that noise does not move it back and forth.
constexpr double kClassHysteresis = 0.75;
// Bounds the search for a server with enough free memory and accelerators.
constexpr std::size_t kMaxFitProbes = 64;

double
ExactClass(double aSpeed)
{
  double middle = ServerTable::kRateClasses / 2;
  double exact = std::log2(aSpeed) * kClassesPerDoubling + middle;
  return std::clamp(exact, 0.0, double(ServerTable::kRateClasses - 1));
}

}

double
ServerTable::SpeedOfClass(std::size_t aClass)
{
  static const auto speeds = [] {
    std::array<double, kRateClasses> values{};
    for (std::size_t i = 0; i < kRateClasses; ++i) {
      double distance = double(i) - double(kRateClasses / 2);
      values[i] = std::exp2(distance / kClassesPerDoubling);
    }
    return values;
  }();
  return speeds[aClass];
}

ServerIndex
ServerTable::Set(const ProcessInfo& aInfo)
{
  auto known = indexById_.find(aInfo.id);
  ServerIndex index = 0;
  if (known != indexById_.end()) {
    index = known->second;
  } else if (!unusedIndexes_.empty()) {
    index = unusedIndexes_.back();
    unusedIndexes_.pop_back();
  } else {
    index = static_cast<ServerIndex>(servers_.size());
    servers_.emplace_back();
  }
  indexById_.emplace(aInfo.id, index);
  Server& server = servers_[index];
  server.info = aInfo;
  server.running.reserve(aInfo.slots);
  UpdateRates(server);
  UpdateFreeList(index);
  return index;
}

std::vector<RunningTask>
ServerTable::Remove(ServerIndex aServer)
{
  Server& server = servers_[aServer];
  std::vector<RunningTask> lost = std::move(server.running);
  runningCount_ -= lost.size();
  indexById_.erase(server.info.id);
  RemoveFromFreeList(server);
  server.limit = 0;
  UpdateRates(server);
  std::uint32_t generation = server.generation + 1;
  server = Server{};
  server.generation = generation;
  unusedIndexes_.push_back(aServer);
  return lost;
}

std::optional<ServerIndex>
ServerTable::Find(const state::ProcessId& aAgent) const
{
  auto known = indexById_.find(aAgent);
  if (known == indexById_.end()) {
    return std::nullopt;
  }
  return known->second;
}

void
ServerTable::Start(ServerIndex aServer, const RunningTask& aTask)
{
  Server& server = servers_[aServer];
  server.running.push_back(aTask);
  server.runningRefs.push_back(aTask.task);
  server.usedResources.memoryMb += aTask.needs.memoryMb;
  server.usedResources.accelerators += aTask.needs.accelerators;
  ++runningCount_;
  UpdateFreeList(aServer);
}

std::optional<RunningTask>
ServerTable::End(ServerIndex aServer, const TaskRef& aTask)
{
  Server& server = servers_[aServer];
  auto& refs = server.runningRefs;
  auto ref = std::find(refs.begin(), refs.end(), aTask);
  if (ref == refs.end()) {
    return std::nullopt;
  }
  auto task = server.running.begin() + (ref - refs.begin());
  RunningTask ended = *task;
  *task = server.running.back();
  server.running.pop_back();
  *ref = refs.back();
  refs.pop_back();
  server.usedResources.memoryMb -= ended.needs.memoryMb;
  server.usedResources.accelerators -= ended.needs.accelerators;
  --runningCount_;
  UpdateFreeList(aServer);
  return ended;
}

void
ServerTable::SetSpeed(ServerIndex aServer, double aSpeed)
{
  Server& server = servers_[aServer];
  double exact = ExactClass(aSpeed);
  if (std::abs(exact - double(server.rateClass)) < kClassHysteresis) {
    return;
  }
  RemoveFromFreeList(server);
  std::uint32_t slots = server.countedSlots;
  slotsByClass_[server.rateClass] -= slots;
  server.rateClass = static_cast<std::size_t>(std::lround(exact));
  slotsByClass_[server.rateClass] += slots;
  RecomputeRates();
  UpdateFreeList(aServer);
}

void
ServerTable::SetLimit(ServerIndex aServer, std::uint32_t aLimit)
{
  servers_[aServer].limit = aLimit;
  UpdateRates(servers_[aServer]);
  UpdateFreeList(aServer);
}

void
ServerTable::SetDraining(ServerIndex aServer)
{
  servers_[aServer].info.draining = true;
  UpdateRates(servers_[aServer]);
  UpdateFreeList(aServer);
}

void
ServerTable::HoldSlot(ServerIndex aServer)
{
  ++servers_[aServer].heldSlots;
  UpdateFreeList(aServer);
}

void
ServerTable::ReleaseHeldSlot(ServerIndex aServer)
{
  --servers_[aServer].heldSlots;
  UpdateFreeList(aServer);
}

FreeServers
ServerTable::FindFree(const TaskNeeds& aNeeds) const
{
  FreeServers found;
  std::size_t probes = 0;
  for (std::uint64_t left = freeClasses_; left != 0;) {
    std::size_t rateClass = 63 - std::countl_zero(left);
    left &= ~(std::uint64_t{ 1 } << rateClass);
    for (ServerIndex index : freeByClass_[rateClass]) {
      if (HasFreeCapacity(servers_[index], aNeeds)) {
        found.servers[found.count++] = index;
      }
      if (found.count == FreeServers::kMaxServers ||
          ++probes == kMaxFitProbes) {
        return found;
      }
    }
    if (found.count > 0) {
      return found;
    }
  }
  return found;
}

bool
ServerTable::FitsAnyServer(const TaskNeeds& aNeeds) const
{
  return std::any_of(
    indexById_.begin(), indexById_.end(), [&](const auto& aEntry) {
      const ProcessInfo& info = servers_[aEntry.second].info;
      return info.memoryMb >= aNeeds.memoryMb &&
             info.accelerators >= aNeeds.accelerators;
    });
}

std::uint64_t
ServerTable::ClassesAbove(std::size_t aClass) const
{
  if (aClass + 1 >= kRateClasses) {
    return 0;
  }
  return usableClasses_ & (~std::uint64_t{ 0 } << (aClass + 1));
}

double
ServerTable::FastestSpeed() const
{
  if (usableClasses_ == 0) {
    return 0;
  }
  return SpeedOfClass(63 - std::countl_zero(usableClasses_));
}

const ProcessInfo&
ServerTable::Info(ServerIndex aServer) const
{
  return servers_[aServer].info;
}

std::size_t
ServerTable::ClassOf(ServerIndex aServer) const
{
  return servers_[aServer].rateClass;
}

std::span<const RunningTask>
ServerTable::Running(ServerIndex aServer) const
{
  return servers_[aServer].running;
}

std::uint32_t
ServerTable::Generation(ServerIndex aServer) const
{
  return servers_[aServer].generation;
}

std::vector<ServerIndex>
ServerTable::Indexes() const
{
  std::vector<ServerIndex> indexes;
  indexes.reserve(indexById_.size());
  for (const auto& [id, index] : indexById_) {
    indexes.push_back(index);
  }
  return indexes;
}

bool
ServerTable::HasFreeSlot(const Server& aServer) const
{
  auto usable = std::min(aServer.info.slots, aServer.limit);
  return !aServer.info.draining &&
         aServer.running.size() + aServer.heldSlots < usable;
}

bool
ServerTable::HasFreeCapacity(const Server& aServer, const TaskNeeds& aNeeds)
{
  std::uint64_t memory = std::uint64_t{ aServer.usedResources.memoryMb };
  std::uint64_t accelerators =
    std::uint64_t{ aServer.usedResources.accelerators };
  return aNeeds.Empty() ||
         (memory + aNeeds.memoryMb <= aServer.info.memoryMb &&
          accelerators + aNeeds.accelerators <= aServer.info.accelerators);
}

void
ServerTable::UpdateFreeList(ServerIndex aServer)
{
  Server& server = servers_[aServer];
  bool free = HasFreeSlot(server);
  if (free == server.freePosition.has_value()) {
    return;
  }
  if (!free) {
    RemoveFromFreeList(server);
    return;
  }
  auto& list = freeByClass_[server.rateClass];
  server.freePosition = static_cast<std::uint32_t>(list.size());
  list.push_back(aServer);
  freeClasses_ |= std::uint64_t{ 1 } << server.rateClass;
}

void
ServerTable::RemoveFromFreeList(Server& aServer)
{
  if (!aServer.freePosition) {
    return;
  }
  auto& list = freeByClass_[aServer.rateClass];
  ServerIndex last = list.back();
  list[*aServer.freePosition] = last;
  servers_[last].freePosition = aServer.freePosition;
  list.pop_back();
  aServer.freePosition.reset();
  if (list.empty()) {
    freeClasses_ &= ~(std::uint64_t{ 1 } << aServer.rateClass);
  }
}

void
ServerTable::UpdateRates(Server& aServer)
{
  std::uint32_t slots =
    aServer.info.draining ? 0 : std::min(aServer.info.slots, aServer.limit);
  if (slots == aServer.countedSlots) {
    return;
  }
  slotsByClass_[aServer.rateClass] += slots - aServer.countedSlots;
  aServer.countedSlots = slots;
  RecomputeRates();
}

void
ServerTable::RecomputeRates()
{
  SlotTotals sum;
  usableClasses_ = 0;
  for (std::size_t c = kRateClasses; c-- > 0;) {
    sum.rate += slotsByClass_[c] * SpeedOfClass(c);
    sum.slots += slotsByClass_[c];
    if (sum.slots > 0) {
      sum.slotSecondsPerWork = sum.slots / sum.rate;
    }
    totalsFromClass_[c] = sum;
    if (slotsByClass_[c] > 0) {
      usableClasses_ |= std::uint64_t{ 1 } << c;
    }
  }
}

}
