#include "soak/soak_checker.h"

#include <fmt/format.h>

namespace greengage::testing_support {

void
SoakChecker::OnRunStarted(unsigned aServer, const state::RunKey& aRun)
{
  std::lock_guard lock(mutex_);
  startedJobs_.insert(aRun.task.job);
  if (evacuatedServer_ == aServer) {
    violations_.push_back(
      fmt::format("job {} task {}: run {} starts on server {}, which is in an "
                  "evacuated data centre",
                  aRun.task.job.ToString(),
                  aRun.task.index,
                  aRun.run,
                  aServer));
  }
  auto& servers = runningServers_[aRun.task];
  servers.insert(aServer);
  if (servers.size() > 1) {
    violations_.push_back(fmt::format(
      "job {} task {}: run {} starts on server {} while another run is "
      "active on server {}",
      aRun.task.job.ToString(),
      aRun.task.index,
      aRun.run,
      aServer,
      *servers.begin()));
  }
}

void
SoakChecker::OnRunEnded(unsigned aServer,
                        const state::RunKey& aRun,
                        coordination::RunEndKind aKind)
{
  std::lock_guard lock(mutex_);
  auto& servers = runningServers_[aRun.task];
  auto server = servers.find(aServer);
  if (server != servers.end()) {
    servers.erase(server);
  }
  if (aKind == coordination::RunEndKind::eDone) {
    completedTasks_.insert(aRun.task);
  }
}

void
SoakChecker::SetEvacuatedServer(std::optional<unsigned> aServer)
{
  std::lock_guard lock(mutex_);
  evacuatedServer_ = aServer;
}

void
SoakChecker::OnSubmitted(const state::DispatchJobId& aJob, std::string aSpec)
{
  std::lock_guard lock(mutex_);
  submittedSpecs_[aJob.ToString()] = std::move(aSpec);
}

void
SoakChecker::OnStartOrdered(const std::string& aTask, const std::string& aSpec)
{
  std::lock_guard lock(mutex_);
  auto submitted = submittedSpecs_.find(aTask.substr(0, aTask.find('.')));
  if (submitted == submittedSpecs_.end()) {
    violations_.push_back(
      fmt::format("task {} was started, but no caller sent its job", aTask));
  } else if (submitted->second != aSpec) {
    violations_.push_back(
      fmt::format("task {} was started with a spec of {} bytes in place of the "
                  "caller's {} bytes",
                  aTask,
                  aSpec.size(),
                  submitted->second.size()));
  }
}

void
SoakChecker::OnCompleted(const state::DispatchJobId& aJob, unsigned aTasks)
{
  std::lock_guard lock(mutex_);
  ++completed_;
  for (std::uint32_t task = 0; task < aTasks; ++task) {
    if (!completedTasks_.contains({ aJob, 0, task })) {
      violations_.push_back(
        fmt::format("job {} was completed, but its task {} was not done",
                    aJob.ToString(),
                    task));
    }
  }
}

void
SoakChecker::OnRejected(const state::DispatchJobId& aJob)
{
  std::lock_guard lock(mutex_);
  if (startedJobs_.contains(aJob)) {
    violations_.push_back(fmt::format(
      "job {} was rejected, but a run of it was started", aJob.ToString()));
  }
}

void
SoakChecker::AddViolation(const std::string& aMessage)
{
  std::lock_guard lock(mutex_);
  violations_.push_back(aMessage);
}

std::vector<std::string>
SoakChecker::Violations() const
{
  std::lock_guard lock(mutex_);
  return violations_;
}

unsigned
SoakChecker::Completed() const
{
  std::lock_guard lock(mutex_);
  return completed_;
}

}
