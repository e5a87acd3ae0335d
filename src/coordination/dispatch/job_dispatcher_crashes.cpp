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
    auto tasks = crashHistory_.OnCrash(aAgent, crash);
    if (!tasks.empty()) {
      servers_.OnCrashed(aAgent);
    }
    for (const CrashedTask& task : tasks) {
      RecordCrash(aAgent, crash, task);
      if (crashHistory_.IsGivenUp(task.task)) {
        End(task.task.job, FailedOutcome(DispatchReason::eCrashedServers));
      }
    }
  }
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
