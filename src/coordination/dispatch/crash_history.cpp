#include "coordination/dispatch/crash_history.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;
using state::TaskKey;
using std::chrono::milliseconds;

namespace {

/** Attributed crashes after which a task is given up. */
constexpr std::uint32_t kMaxAttributed = 2;
/** Crashes after which a task is given up, whatever they are attributed to. */
constexpr std::uint32_t kMaxCrashes = 3;
constexpr milliseconds kEvidenceTime{ 30'000 };
/**
 * Time for which a given-up task is rejected; longer than callers submit a job
 * again.
 */
constexpr milliseconds kGivenUpTime{ 600'000 };
constexpr std::size_t kMaxCrashRecords = 1024;
constexpr std::size_t kMaxGivenUpTasks = 16'384;

}

CrashHistory::CrashHistory(const state::Clock& aClock)
  : clock_(aClock)
{
}

std::vector<CrashedTask>
CrashHistory::OnCrash(const ProcessId& aAgent, const ServerCrash& aCrash)
{
  RemoveExpired();
  auto at = clock_.MonotonicNow() - milliseconds(aCrash.ageMs);
  bool expired = at + kEvidenceTime <= clock_.MonotonicNow();
  if (expired || !known_.insert({ aAgent, aCrash.number }).second) {
    return {};
  }
  if (crashes_.size() >= kMaxCrashRecords) {
    RemoveOldest();
  }
  Crash& crash = crashes_.emplace_back();
  crash.id = { aAgent, aCrash.number };
  crash.at = at;
  std::map<TaskKey, std::string> queues;
  for (const CrashSuspect& suspect : aCrash.suspects) {
    if (queues.emplace(suspect.task, suspect.queue).second) {
      crash.tasks.push_back(suspect.task);
    }
  }
  crash.attributed = Attribute(crash);
  for (const TaskKey& task : crash.tasks) {
    Counts& counts = counts_[task];
    ++counts.crashes;
    counts.attributed += crash.attributed.contains(task) ? 1 : 0;
  }
  // The limits apply to the counts before any exoneration by this crash, so
  // that two suspects that cannot be distinguished are both given up.
  std::vector<CrashedTask> changed;
  for (const TaskKey& task : crash.tasks) {
    const Counts& counts = counts_.at(task);
    bool reached =
      counts.attributed >= kMaxAttributed || counts.crashes >= kMaxCrashes;
    bool isNew =
      reached && givenUp_.emplace(task, clock_.MonotonicNow()).second;
    changed.push_back(
      { task, queues.at(task), counts.crashes, counts.attributed, isNew });
  }
  for (const CrashedTask& task : changed) {
    if (task.isGivenUp) {
      Exonerate(task.task);
    }
  }
  return changed;
}

std::set<TaskKey>
CrashHistory::Attribute(const Crash& aCrash) const
{
  std::set<TaskKey> givenUp;
  std::set<TaskKey> suspects;
  for (const TaskKey& task : aCrash.tasks) {
    if (IsGivenUp(task)) {
      givenUp.insert(task);
    }
    if (Attributed(task) > 0) {
      suspects.insert(task);
    }
  }
  if (!givenUp.empty()) {
    return givenUp;
  }
  if (!suspects.empty()) {
    return suspects;
  }
  return { aCrash.tasks.begin(), aCrash.tasks.end() };
}

void
CrashHistory::Exonerate(const TaskKey& aGivenUp)
{
  for (Crash& crash : crashes_) {
    if (std::find(crash.tasks.begin(), crash.tasks.end(), aGivenUp) ==
        crash.tasks.end()) {
      continue;
    }
    std::erase_if(crash.attributed, [this](const TaskKey& aTask) {
      if (IsGivenUp(aTask)) {
        return false;
      }
      --counts_.at(aTask).attributed;
      return true;
    });
  }
}

void
CrashHistory::RemoveOldest()
{
  Crash crash = std::move(crashes_.front());
  crashes_.pop_front();
  known_.erase(crash.id);
  for (const TaskKey& task : crash.tasks) {
    auto counts = counts_.find(task);
    counts->second.attributed -= crash.attributed.contains(task) ? 1 : 0;
    if (--counts->second.crashes == 0) {
      counts_.erase(counts);
    }
  }
}

void
CrashHistory::RemoveExpired()
{
  auto now = clock_.MonotonicNow();
  // A crash that was reported late expires with the ones received before it.
  while (!crashes_.empty() && crashes_.front().at + kEvidenceTime <= now) {
    RemoveOldest();
  }
  std::erase_if(givenUp_, [now](const auto& aItem) {
    return aItem.second + kGivenUpTime <= now;
  });
  while (givenUp_.size() > kMaxGivenUpTasks) {
    givenUp_.erase(std::min_element(
      givenUp_.begin(), givenUp_.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second < aTwo.second;
      }));
  }
}

std::uint32_t
CrashHistory::Attributed(const TaskKey& aTask) const
{
  auto counts = counts_.find(aTask);
  return counts == counts_.end() ? 0 : counts->second.attributed;
}

bool
CrashHistory::HasGivenUpTask(state::DispatchJobId aJob) const
{
  auto first = givenUp_.lower_bound({ aJob, 0, 0 });
  return first != givenUp_.end() && first->first.job == aJob;
}

}
