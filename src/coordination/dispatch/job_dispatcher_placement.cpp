#include "coordination/dispatch/job_dispatcher.h"

// Memory for new jobs, and the places of tasks that wait.
namespace greengage::coordination {

using state::DispatchReason;
using state::DispatchResult;
using state::ProcessId;

namespace {

/**
 * Searches for a server in one pass over the waiting jobs. A job of 1,100 tasks
 * is placed in one pass; thousands of jobs that cannot be placed do not keep
 * the control thread from other work.
 */
constexpr std::uint64_t kMaxSearchesPerPass = 2048;

}

bool
JobDispatcher::MakeRoomFor(const DispatchedJob& aNewJob)
{
  auto rejected = memory_.MakeRoom(aNewJob, [this](state::DispatchJobId aJob) {
    return !jobs_.at(aJob)->started;
  });
  if (!rejected) {
    return false;
  }
  for (state::DispatchJobId id : *rejected) {
    const DispatchedJob& job = *jobs_.at(id);
    admission_.OnWaitEnded(job);
    End(id,
        { DispatchResult::eRejected,
          DispatchReason::eNoMemory,
          RetryAfter(job) });
  }
  return true;
}

bool
JobDispatcher::MayPlace()
{
  pauses_.Check();
  // While the process is behind, the callers may have disconnected, and agents
  // refuse the orders.
  return !IsBehind() && (!hooks_.mayPlace || hooks_.mayPlace());
}

void
JobDispatcher::PlaceWaitingJobs()
{
  if (!passContinuesAt_) {
    ContinuePlacing();
  }
}

void
JobDispatcher::ContinuePlacing()
{
  if (!MayPlace()) {
    return;
  }
  auto key = passContinuesAt_ ? waiting_.lower_bound(*passContinuesAt_)
                              : waiting_.begin();
  passContinuesAt_.reset();
  const std::uint64_t limit = placer_.Searches() + kMaxSearchesPerPass;
  while (key != waiting_.end()) {
    if (placer_.Searches() >= limit) {
      passContinuesAt_ = *key;
      return;
    }
    DispatchedJob& job = *jobs_.at(std::get<3>(*key));
    // The key is removed or changes when the job is placed.
    ++key;
    PlaceJob(job);
  }
}

void
JobDispatcher::PlaceNewJob(DispatchedJob& aJob)
{
  if (!passContinuesAt_) {
    PlaceWaitingJobs();
  } else if (MayPlace()) {
    // The jobs before it had no place when they were examined last.
    PlaceJob(aJob);
  }
}

void
JobDispatcher::PlaceJob(DispatchedJob& aJob)
{
  if (HasEarlierRuns(aJob)) {
    return;
  }
  bool wasStarted = aJob.started;
  bool placed = placer_.PlaceJob(aJob);
  if (aJob.started && !wasStarted) {
    admission_.OnWaitEnded(aJob);
  }
  if (placed) {
    waiting_.erase(*aJob.waitingKey);
    aJob.waitingKey.reset();
  } else {
    // The key changes when the job starts: started jobs come first.
    Enqueue(aJob);
  }
}

void
JobDispatcher::RecordPlacements(const ProcessId& aAgent,
                                const DispatchOrders& aOrders) const
{
  if (!hooks_.placed) {
    return;
  }
  for (const RunBatch& batch : aOrders.starts) {
    auto job = jobs_.find(batch.job);
    if (job == jobs_.end()) {
      continue;
    }
    PlacementRequest request = placer_.RequestFor(*job->second, batch.step);
    hooks_.placed({ aAgent,
                    batch.job,
                    batch.step,
                    static_cast<std::uint32_t>(batch.runs.size()),
                    request.workMs,
                    servers_.Model().Speed(aAgent),
                    request.objectiveMs });
  }
}

}
