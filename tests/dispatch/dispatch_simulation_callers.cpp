#include "dispatch/dispatch_simulation.h"

#include <algorithm>

#include <fmt/format.h>

// Callers: their submissions, connections and answers.
namespace greengage::testing {

using namespace coordination;
using state::DispatchOutcome;
using state::DispatchResult;
using state::TaskKey;

std::size_t
DispatchSimulation::Submit(unsigned aEntry,
                           std::uint64_t aJob,
                           unsigned aTasks,
                           double aWorkMs,
                           std::uint32_t aPriority)
{
  std::size_t number = submissions_.size();
  submissions_.push_back({ aJob,
                           aTasks,
                           now_,
                           aEntry,
                           std::nullopt,
                           0,
                           !entries_[aEntry].isUp,
                           now_,
                           std::nullopt });
  workMsOfJob_[aJob] = aWorkMs;
  state::DispatchJob job;
  job.id = aJob;
  state::DispatchStep step;
  step.taskCount = aTasks;
  step.need = { 1000, 64, 0 };
  step.estimate = std::chrono::milliseconds(static_cast<int>(aWorkMs));
  job.steps.push_back(step);
  state::WorkQueue queue;
  queue.name = fmt::format("queue-{}", aPriority);
  queue.service = "portal";
  queue.priority = aPriority;
  queue.maxAttempts = 2;
  queue.objectiveStretch = 1.6;
  queue.objectiveMargin = std::chrono::milliseconds(60);
  DeliverFromCaller(aEntry, [this, aEntry, number, queue, job] {
    ReadSubmission(aEntry, number, queue, job);
  });
  return number;
}

void
DispatchSimulation::ReadSubmission(unsigned aEntry,
                                   std::size_t aNumber,
                                   const state::WorkQueue& aQueue,
                                   const state::DispatchJob& aJob)
{
  SubmissionRecord& record = submissions_[aNumber];
  // HttpSession drops a request whose caller has disconnected before the read.
  if (record.isDisconnected) {
    Trace(aJob.id.Number(), fmt::format("entry {} drops {}", aEntry, aNumber));
    return;
  }
  record.readAt = now_;
  Trace(aJob.id.Number(),
        fmt::format("entry {} reads submission {}", aEntry, aNumber));
  RunOnEntry(aEntry, [this, aEntry, aNumber, aQueue, aJob, readAt = now_] {
    entries_[aEntry].submissions[aNumber] = aNumber;
    entries_[aEntry].dispatcher->Submit(
      aNumber,
      aQueue,
      aJob,
      std::chrono::milliseconds(1500),
      std::chrono::milliseconds(now_ - readAt));
  });
}

void
DispatchSimulation::DeliverFromCaller(unsigned aEntry,
                                      std::function<void()> aFunction)
{
  EntryNode& node = entries_[aEntry];
  Milliseconds time = std::max(node.lastCallerEvent, now_ + node.callerLag);
  node.lastCallerEvent = time;
  auto deliver = [this, aEntry, id = node.id, function = std::move(aFunction)] {
    EntryNode& entry = entries_[aEntry];
    if (!entry.isUp || entry.id != id) {
      return;
    }
    if (settings_.hasProcessQueues) {
      Enqueue(entry.traffic, entry.frozenUntil, function);
    } else {
      RunOnEntry(aEntry, function);
    }
  };
  if (time <= now_) {
    deliver();
    return;
  }
  ScheduleAt(time, deliver);
}

void
DispatchSimulation::PassProbe(unsigned aEntry, std::function<void()> aReturned)
{
  // The probe returns after the call that sent it, as in the real process.
  ScheduleAt(
    now_,
    [this, aEntry, id = entries_[aEntry].id, returned = std::move(aReturned)] {
      if (entries_[aEntry].id == id) {
        DeliverFromCaller(
          aEntry, [this, aEntry, returned] { RunOnEntry(aEntry, returned); });
      }
    });
}

void
DispatchSimulation::Abandon(std::size_t aSubmission)
{
  unsigned entry = submissions_[aSubmission].entry;
  submissions_[aSubmission].isDisconnected = true;
  submissions_[aSubmission].brokenAt = now_;
  DeliverFromCaller(entry, [this, entry, aSubmission] {
    RunOnEntry(entry, [this, entry, aSubmission] {
      entries_[entry].dispatcher->Abandon(aSubmission);
    });
  });
}

void
DispatchSimulation::BreakCaller(std::size_t aSubmission)
{
  const SubmissionRecord& record = submissions_[aSubmission];
  if (record.outcome || record.isDisconnected) {
    return;
  }
  Trace(record.job,
        fmt::format("the connection of submission {} to entry {} breaks",
                    aSubmission,
                    record.entry));
  Abandon(aSubmission);
}

void
DispatchSimulation::BreakAllCallers()
{
  for (std::size_t i = 0; i < submissions_.size(); ++i) {
    BreakCaller(i);
  }
}

void
DispatchSimulation::SetCallerLag(unsigned aEntry, Milliseconds aLag)
{
  entries_[aEntry].callerLag = aLag;
}

void
DispatchSimulation::OnAnswer(unsigned aEntry,
                             SubmissionId aSubmission,
                             const DispatchOutcome& aOutcome)
{
  SubmissionRecord& record = submissions_[aSubmission];
  if (record.outcome) {
    AddViolation(record.job,
                 fmt::format("job {} was answered twice", record.job));
  }
  Trace(record.job,
        fmt::format("entry {} answers {} {}",
                    aEntry,
                    ToString(aOutcome.result),
                    ToString(aOutcome.reason)));
  record.outcome = aOutcome;
  record.answeredAt = now_;
  // An entry has no information about runs of an earlier submission at another
  // entry, so a rejection is checked only for jobs submitted once.
  auto attempts =
    std::count_if(submissions_.begin(),
                  submissions_.end(),
                  [&](const auto& aOther) { return aOther.job == record.job; });
  for (unsigned i = 0; i < record.tasks; ++i) {
    TaskKey task{ record.job, 0, i };
    if (aOutcome.result == DispatchResult::eCompleted &&
        !completedTasks_.contains(task)) {
      AddViolation(record.job,
                   fmt::format("job {} is completed, but task {} was not done",
                               record.job,
                               i));
    }
    if (aOutcome.result == DispatchResult::eRejected && attempts == 1 &&
        startedTasks_.contains(task)) {
      AddViolation(record.job,
                   fmt::format("job {} is rejected, but task {} was started",
                               record.job,
                               i));
    }
  }
}

}
