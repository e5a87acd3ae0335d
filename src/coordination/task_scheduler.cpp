#include "coordination/task_scheduler.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::coordination {

namespace {

constexpr std::chrono::milliseconds kNoWorkersRetryAfter{ 1000 };

}

TaskScheduler::TaskScheduler(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
TaskScheduler::SetTemplate(const state::WorkTemplate& aTemplate)
{
  templates_.insert_or_assign(aTemplate.Name(), aTemplate);
}

void
TaskScheduler::RemoveTemplate(const std::string& aName)
{
  templates_.erase(aName);
}

void
TaskScheduler::SetOrganisation(const state::OrganisationParameters& aParameters)
{
  organisations_.insert_or_assign(aParameters.Name(), aParameters);
}

void
TaskScheduler::RemoveOrganisation(const std::string& aName)
{
  organisations_.erase(aName);
}

void
TaskScheduler::SetServer(const ProcessInfo& aServer)
{
  servers_[aServer.id].info = aServer;
}

void
TaskScheduler::RemoveServer(const state::ProcessId& aAgent)
{
  servers_.erase(aAgent);
  std::erase_if(running_,
                [&](const auto& aEntry) { return aEntry.second == aAgent; });
}

tl::expected<void, CoordinationError>
TaskScheduler::Admit(const state::JobSpec& aSpec) const
{
  using state::RefusalCode;
  if (!organisations_.contains(aSpec.Key().organisation)) {
    return tl::unexpected(
      CoordinationError{ RefusalCode::eUnknownOrganisation,
                         fmt::format("organisation \"{}\" is not published",
                                     aSpec.Key().organisation) });
  }
  if (!templates_.contains(aSpec.TemplateName())) {
    return tl::unexpected(CoordinationError{
      RefusalCode::eUnknownTemplate,
      fmt::format("template \"{}\" is not published", aSpec.TemplateName()) });
  }
  if (servers_.empty()) {
    return tl::unexpected(CoordinationError{ RefusalCode::eNoWorkers,
                                             "no backend server is known",
                                             kNoWorkersRetryAfter });
  }
  return {};
}

void
TaskScheduler::Enqueue(JobHandle,
                       const state::JobSpec&,
                       const std::vector<TaskRef>& aTasks,
                       state::MonotonicTime)
{
  queue_.insert(queue_.end(), aTasks.begin(), aTasks.end());
}

void
TaskScheduler::AdoptRunning(const state::ProcessId& aAgent,
                            const TaskRef& aTask,
                            const state::JobSpec&)
{
  auto server = servers_.find(aAgent);
  if (server == servers_.end()) {
    return;
  }
  ++server->second.running;
  running_.emplace(aTask, aAgent);
}

void
TaskScheduler::DropQueued(JobHandle aJob)
{
  std::erase_if(queue_,
                [&](const TaskRef& aTask) { return aTask.job == aJob; });
}

std::vector<Assignment>
TaskScheduler::Assign()
{
  std::vector<Assignment> assignments;
  for (auto& [id, server] : servers_) {
    if (server.info.draining) {
      continue;
    }
    while (!queue_.empty() && server.running < server.info.slots) {
      assignments.push_back({ id, queue_.front() });
      running_.emplace(queue_.front(), id);
      queue_.pop_front();
      ++server.running;
    }
  }
  return assignments;
}

void
TaskScheduler::OnTaskEnded(const state::ProcessId& aAgent,
                           const TaskRef& aTask,
                           const state::TaskRecord&)
{
  auto running = running_.find(aTask);
  if (running == running_.end() || running->second != aAgent) {
    return;
  }
  running_.erase(running);
  auto server = servers_.find(aAgent);
  if (server != servers_.end() && server->second.running > 0) {
    --server->second.running;
  }
}

}
