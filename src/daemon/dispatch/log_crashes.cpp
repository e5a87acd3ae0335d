#include "daemon/dispatch/log_crashes.h"

#include "transport/event_log.h"

namespace greengage::daemon {

using transport::LogEvent;
namespace events = transport::events;

void
LogCrash(const coordination::TaskCrashRecord& aRecord)
{
  const coordination::CrashedTask& task = aRecord.task;
  LogEvent(events::kTaskCrashCounted,
           "job={} step={} task={} agent={} crash={} age_ms={} tasks={} "
           "crashes={} attributed={}",
           task.task.job.ToString(),
           task.task.step,
           task.task.index,
           aRecord.agent.ToString(),
           aRecord.number,
           aRecord.age.count(),
           aRecord.tasks,
           task.crashes,
           task.attributed);
  if (task.isGivenUp) {
    LogEvent(events::kJobGivenUp,
             "job={} queue={} step={} task={} crashes={} attributed={}",
             task.task.job.ToString(),
             transport::QuoteValue(task.queue),
             task.task.step,
             task.task.index,
             task.crashes,
             task.attributed);
  }
}

void
LogQueueLimit(const coordination::QueueLimitRecord& aRecord)
{
  LogEvent(aRecord.change.isLimited ? events::kQueueLimitBegan
                                    : events::kQueueLimitEnded,
           "queue={} given_up_jobs={} since_last_ms={} servers={} "
           "limited_queues={}",
           transport::QuoteValue(aRecord.change.queue),
           aRecord.change.givenUpJobs,
           aRecord.change.sinceLast.count(),
           aRecord.servers,
           aRecord.limitedQueues);
}

}
