#include "coordination/subset/entry_choice.h"

#include <algorithm>

#include "coordination/subset/rendezvous_hash.h"

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/** Share of the chosen entries in the data centre of the agent. */
constexpr double kLocalShare = 0.4;
/**
 * Interval of changes of the choice in a large fleet, which bounds the work of
 * a start of all processes.
 */
constexpr milliseconds kUpdatePeriod{ 250 };

using Ranked = std::vector<std::pair<std::uint64_t, ProcessId>>;

/** Returns the first ids by rank, at most aCount. */
void
AddFirst(const Ranked& aRanked,
         std::size_t aCount,
         std::set<ProcessId>& aChosen)
{
  for (std::size_t i = 0; i < std::min(aCount, aRanked.size()); ++i) {
    aChosen.insert(aRanked[i].second);
  }
}

}

std::size_t
EntriesPerServer(std::size_t aEntries, std::size_t aAgents)
{
  if (aEntries <= kMaxEntriesPerServer || aAgents == 0) {
    return aEntries;
  }
  std::size_t count = (kServersPerEntry * aEntries + aAgents - 1) / aAgents;
  return std::clamp(count, kMinEntriesPerServer, kMaxEntriesPerServer);
}

std::set<ProcessId>
ChooseEntries(const ProcessInfo& aAgent,
              const std::vector<ProcessInfo>& aEntries,
              std::size_t aCount)
{
  Ranked local;
  Ranked remote;
  for (const ProcessInfo& entry : aEntries) {
    bool isLocal = entry.dataCentre == aAgent.dataCentre;
    (isLocal ? local : remote)
      .emplace_back(RendezvousHash(aAgent.peerAddress, entry.peerAddress),
                    entry.id);
  }
  std::sort(local.begin(), local.end());
  std::sort(remote.begin(), remote.end());
  auto localCount = std::min(
    local.size(),
    static_cast<std::size_t>(kLocalShare * static_cast<double>(aCount) + 0.5));
  // A data centre without enough entries leaves its part to the others.
  std::size_t remoteCount = std::min(remote.size(), aCount - localCount);
  localCount = std::min(local.size(), aCount - remoteCount);
  std::set<ProcessId> chosen;
  AddFirst(local, localCount, chosen);
  AddFirst(remote, remoteCount, chosen);
  return chosen;
}

EntryChoice::EntryChoice(const state::Clock& aClock, EntryChoiceHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
{
}

void
EntryChoice::OnAlive(const ProcessInfo& aProcess)
{
  if (aProcess.role == ProcessRole::eAgent) {
    hasChanged_ = agents_.insert(aProcess.id).second || hasChanged_;
    return;
  }
  auto [entry, isNew] = entries_.insert_or_assign(aProcess.id, aProcess);
  hasChanged_ = isNew || hasChanged_;
  if (isNew && entries_.size() <= kMaxEntriesPerServer) {
    // All entries of a small fleet are chosen, without a delay.
    Update();
  } else if (IsChosen(aProcess.id)) {
    hooks_.chosen(aProcess);
  }
}

void
EntryChoice::OnLost(const ProcessId& aProcess)
{
  chosen_.erase(aProcess);
  std::size_t erased = entries_.erase(aProcess) + agents_.erase(aProcess);
  hasChanged_ = erased > 0 || hasChanged_;
}

void
EntryChoice::Tick()
{
  if (hasChanged_ && clock_.MonotonicNow() >= nextUpdateAt_) {
    Update();
  }
}

void
EntryChoice::Update()
{
  hasChanged_ = false;
  nextUpdateAt_ = clock_.MonotonicNow() + kUpdatePeriod;
  std::vector<ProcessInfo> entries;
  for (const auto& [id, entry] : entries_) {
    entries.push_back(entry);
  }
  // This agent counts as well.
  auto chosen = ChooseEntries(
    self_, entries, EntriesPerServer(entries.size(), agents_.size() + 1));
  EntryChoiceRecord record;
  record.chosen = chosen.size();
  record.entries = entries.size();
  record.agents = agents_.size() + 1;
  auto before = std::exchange(chosen_, std::move(chosen));
  for (const ProcessInfo& entry : entries) {
    bool wasChosen = before.contains(entry.id);
    if (!IsChosen(entry.id)) {
      record.removed += wasChosen ? 1 : 0;
      hooks_.notChosen(entry.id);
    } else if (!wasChosen) {
      ++record.added;
      hooks_.chosen(entry);
    }
  }
  if (hooks_.changed && record.added + record.removed > 0) {
    hooks_.changed(record);
  }
}

}
