#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/run_time_window.h"
#include "coordination/scheduling/task_scheduler.h"
#include "state/clock.h"

namespace greengage::coordination {

/** When further attempts of tasks are due: back-off and hedges. */
class AttemptTimer
{
public:
  void Delay(const TaskRef& aTask, state::MonotonicTime aUntil);
  std::vector<TaskRef> TakeDelayed(state::MonotonicTime aNow);

  void AddRunTime(const std::string& aTemplate,
                  std::chrono::microseconds aRunTime);
  /** A hedge is due when the task runs longer than 95% of its template. */
  void ScheduleHedge(JobHandle aJob,
                     const std::string& aTemplate,
                     state::MonotonicTime aNow);
  std::vector<JobHandle> TakeHedges(state::MonotonicTime aNow);

  void Clear();

private:
  std::unordered_map<std::string, RunTimeWindow> runTimes_;
  std::multimap<state::MonotonicTime, TaskRef> delayed_;
  std::multimap<state::MonotonicTime, JobHandle> hedges_;
};

}
