#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/run_time_window.h"
#include "coordination/scheduling/task_scheduler.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Schedules further attempts of tasks: retries after a backoff, and hedges. */
class AttemptTimer
{
public:
  /** Schedules a retry of the task at aUntil. */
  void ScheduleRetry(const TaskRef& aTask, state::MonotonicTime aUntil);
  /** Removes and returns the tasks whose retry is due. */
  std::vector<TaskRef> PopDueRetries(state::MonotonicTime aNow);

  /** Adds the run time of a task to the statistics of its template. */
  void AddRunTime(const std::string& aTemplate,
                  std::chrono::microseconds aRunTime);
  /**
   * Schedules a hedge for the time when the task has run longer than 95% of
   * the recent runs of its template.
   */
  void ScheduleHedge(JobHandle aJob,
                     const std::string& aTemplate,
                     state::MonotonicTime aNow);
  /** Removes and returns the jobs whose hedge is due. */
  std::vector<JobHandle> PopDueHedges(state::MonotonicTime aNow);

  void Clear();

private:
  std::unordered_map<std::string, RunTimeWindow> runTimes_;
  std::multimap<state::MonotonicTime, TaskRef> retries_;
  std::multimap<state::MonotonicTime, JobHandle> hedges_;
};

}
