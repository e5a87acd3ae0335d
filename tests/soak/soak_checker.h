#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"

namespace greengage::testing_support {

/**
 * Checks the invariants of a soak from the runs on the backend servers and the
 * answers to the callers; can be used by several threads.
 */
class SoakChecker
{
public:
  void OnRunStarted(unsigned aServer, const state::RunKey& aRun);
  void OnRunEnded(unsigned aServer,
                  const state::RunKey& aRun,
                  coordination::RunEndKind aKind);
  /** A caller is about to submit the job, perhaps once more. */
  void OnSubmitted(const state::DispatchJobId& aJob, std::string aSpec);
  /** A server was told to start a task with this name and spec. */
  void OnStartOrdered(const std::string& aTask, const std::string& aSpec);
  /** A caller received the answer that all tasks of the job are done. */
  void OnCompleted(const state::DispatchJobId& aJob, unsigned aTasks);
  /** The only attempt to submit the job was rejected as not run. */
  void OnRejected(const state::DispatchJobId& aJob);
  /** From now on, each start on this server is a violation. */
  void SetEvacuatedServer(std::optional<unsigned> aServer);
  void AddViolation(const std::string& aMessage);

  std::vector<std::string> Violations() const;
  unsigned Completed() const;

private:
  mutable std::mutex mutex_;
  std::map<state::TaskKey, std::multiset<unsigned>> runningServers_;
  /** Specs by the ID of their job. */
  std::map<std::string, std::string> submittedSpecs_;
  std::set<state::DispatchJobId> startedJobs_;
  std::set<state::TaskKey> completedTasks_;
  std::optional<unsigned> evacuatedServer_;
  std::vector<std::string> violations_;
  unsigned completed_ = 0;
};

}
