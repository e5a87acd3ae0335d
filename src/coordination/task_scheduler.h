#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "coordination/coordination_error.h"
#include "coordination/messages.h"
#include "state/clock.h"
#include "state/job_spec.h"
#include "state/organisation_parameters.h"
#include "state/task_record.h"
#include "state/work_template.h"

namespace greengage::coordination {

/** Number of a job inside one owner; never reused. */
using JobHandle = std::uint64_t;

/** One attempt to run one task. */
struct TaskRef
{
  JobHandle job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/** Decision to start a task on the backend server beside an agent. */
struct Assignment
{
  state::ProcessId agent;
  TaskRef task;

  auto operator<=>(const Assignment&) const = default;
};

/**
 * Queue and placement of one shard. Tasks wait here, where they can still be
 * moved, until a slot of a backend server is free for them. Used by the
 * control thread only.
 */
class TaskScheduler
{
public:
  explicit TaskScheduler(const state::Clock& aClock);

  void SetTemplate(const state::WorkTemplate& aTemplate);
  void RemoveTemplate(const std::string& aName);
  void SetOrganisation(const state::OrganisationParameters& aParameters);
  void RemoveOrganisation(const std::string& aName);

  /** Adds a server or replaces its description, for example when draining. */
  void SetServer(const ProcessInfo& aServer);
  /** Forgets a server; its running tasks are no longer counted. */
  void RemoveServer(const state::ProcessId& aAgent);

  /** Decides whether a new job may enter the queue; changes nothing. */
  tl::expected<void, CoordinationError> Admit(
    const state::JobSpec& aSpec) const;

  /** Queues the given tasks of an admitted job. */
  void Enqueue(JobHandle aJob,
               const state::JobSpec& aSpec,
               const std::vector<TaskRef>& aTasks,
               state::MonotonicTime aDeadline);

  /** Counts a task that an earlier owner started as running on a server. */
  void AdoptRunning(const state::ProcessId& aAgent,
                    const TaskRef& aTask,
                    const state::JobSpec& aSpec);

  /** Removes all queued tasks of a job; running ones are not touched. */
  void DropQueued(JobHandle aJob);

  /** Binds queued tasks to free slots. */
  std::vector<Assignment> Assign();

  /**
   * Frees the slot of a task that ended or was refused by the agent. A task
   * that was certainly not started is not queued again by this call.
   */
  void OnTaskEnded(const state::ProcessId& aAgent,
                   const TaskRef& aTask,
                   const state::TaskRecord& aRecord);

  std::size_t QueuedTasks() const { return queue_.size(); }
  std::size_t RunningTasks() const { return running_.size(); }
  std::size_t ServerCount() const { return servers_.size(); }

private:
  struct Server
  {
    ProcessInfo info;
    std::uint32_t running = 0;
  };

  const state::Clock& clock_;
  std::map<std::string, state::WorkTemplate> templates_;
  std::map<std::string, state::OrganisationParameters> organisations_;
  std::unordered_map<state::ProcessId, Server> servers_;
  std::deque<TaskRef> queue_;
  std::map<TaskRef, state::ProcessId> running_;
};

}
