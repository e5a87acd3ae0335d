#include "coordination/dispatch/job_dispatcher.h"

// Crashes of backend servers, and the tasks that cause them.
namespace greengage::coordination {

using state::DispatchReason;
using state::ProcessId;
using std::chrono::milliseconds;

void
JobDispatcher::OnCrashes(const ProcessId& aAgent,
                         const std::vector<ServerCrash>& aCrashes)
{
  for (const ServerCrash& crash : aCrashes) {
    if (hooks_.crashReported) {
      hooks_.crashReported(aAgent, crash);
    }
    auto tasks = crashHistory_.OnCrash(aAgent, crash);
    if (!tasks.empty() && servers_.Contains(aAgent)) {
      servers_.OnCrashed(aAgent);
    }
    auto at = clock_.MonotonicNow() - milliseconds(crash.ageMs);
    for (const CrashedTask& task : tasks) {
      RecordCrash(aAgent, crash, task);
      if (task.isGivenUp) {
        isolation_.OnGivenUp(task.queue, task.task.job, at);
      }
      if (crashHistory_.IsGivenUp(task.task)) {
        End(task.task.job, FailedOutcome(DispatchReason::eCrashedServers));
      }
    }
  }
  if (!aCrashes.empty()) {
    UpdateIsolation();
  }
}

void
JobDispatcher::OnEntryNews(const EntryNews& aNews)
{
  for (const ReportedCrash& item : aNews.crashes) {
    OnCrashes(item.agent, { item.crash });
  }
  for (const ReportedHolds& holds : aNews.holds) {
    OnHolds(holds);
  }
  for (const CancelledJob& cancelled : aNews.cancelledJobs) {
    EndCancelled(cancelled.job, milliseconds(cancelled.ageMs));
  }
  PlaceWaitingJobs();
  orders_.Send();
}

void
JobDispatcher::UpdateIsolation()
{
  if (isolation_.IsIdle()) {
    return;
  }
  QueueIsolation::ServiceByQueue services;
  for (const state::WorkQueue& queue : configuration_.queues) {
    services[queue.name] = queue.service;
  }
  auto changes = isolation_.Update(services);
  std::erase_if(services, [this](const auto& aItem) {
    return !isolation_.IsLimited(aItem.first);
  });
  servers_.Isolate(services);
  if (!hooks_.queueLimitChanged) {
    return;
  }
  for (const QueueLimitChange& change : changes) {
    hooks_.queueLimitChanged({ change,
                               servers_.IsolatedServers(change.queue),
                               isolation_.Limited().size() });
  }
}

bool
JobDispatcher::ExceedsIsolation(const DispatchedJob& aJob) const
{
  if (servers_.IsolatedServers(aJob.queue.name) == 0) {
    return false;
  }
  // A job that waits shows that the share has no free capacity.
  if (PendingJobs(aJob.queue.name) > 0) {
    return true;
  }
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    PlacementRequest request = placer_.RequestFor(aJob, i);
    auto shortest = servers_.ShortestRunTime(request);
    if (!shortest || *shortest > request.latestMs) {
      return true;
    }
  }
  return false;
}

void
JobDispatcher::RecordCrash(const ProcessId& aAgent,
                           const ServerCrash& aCrash,
                           const CrashedTask& aTask) const
{
  if (hooks_.crashCounted && jobs_.contains(aTask.task.job)) {
    hooks_.crashCounted({ aAgent,
                          aCrash.number,
                          milliseconds(aCrash.ageMs),
                          aCrash.suspects.size(),
                          aTask });
  }
}

}
