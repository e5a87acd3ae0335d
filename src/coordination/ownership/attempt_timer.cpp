#include "coordination/ownership/attempt_timer.h"

#include <algorithm>

namespace greengage::coordination {

namespace {

constexpr std::chrono::milliseconds kMinHedgeDelay{ 50 };

template<typename Value>
std::vector<Value>
PopDue(std::multimap<state::MonotonicTime, Value>& aTimes,
       state::MonotonicTime aNow)
{
  std::vector<Value> due;
  auto end = aTimes.upper_bound(aNow);
  for (auto entry = aTimes.begin(); entry != end; ++entry) {
    due.push_back(entry->second);
  }
  aTimes.erase(aTimes.begin(), end);
  return due;
}

}

void
AttemptTimer::ScheduleRetry(const TaskRef& aTask, state::MonotonicTime aUntil)
{
  retries_.emplace(aUntil, aTask);
}

std::vector<TaskRef>
AttemptTimer::PopDueRetries(state::MonotonicTime aNow)
{
  return PopDue(retries_, aNow);
}

void
AttemptTimer::AddRunTime(const std::string& aTemplate,
                         std::chrono::microseconds aRunTime)
{
  runTimes_[aTemplate].Add(aRunTime);
}

void
AttemptTimer::ScheduleHedge(JobHandle aJob,
                            const std::string& aTemplate,
                            state::MonotonicTime aNow)
{
  std::chrono::microseconds percentile95 = runTimes_[aTemplate].Percentile95();
  hedges_.emplace(
    aNow + std::max<std::chrono::microseconds>(percentile95, kMinHedgeDelay),
    aJob);
}

std::vector<JobHandle>
AttemptTimer::PopDueHedges(state::MonotonicTime aNow)
{
  return PopDue(hedges_, aNow);
}

void
AttemptTimer::Clear()
{
  retries_.clear();
  hedges_.clear();
}

}
