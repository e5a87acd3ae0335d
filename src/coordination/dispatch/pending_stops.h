#pragma once

#include <map>
#include <utility>
#include <vector>

#include "state/clock.h"
#include "state/dispatch/dispatch_job.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Runs that an entry has ordered to stop and whose end its agent has not
 * reported yet. A stop can be lost with a connection, so it is repeated until
 * then. Used by the control thread only.
 */
class PendingStops
{
public:
  using AgentRun = std::pair<state::ProcessId, state::RunKey>;

  explicit PendingStops(const state::Clock& aClock);

  /** Records that a stop of the run is sent now. */
  void OnSent(const state::ProcessId& aAgent, const state::RunKey& aRun);
  void OnEnded(const state::ProcessId& aAgent, const state::RunKey& aRun);
  /**
   * Removes runs whose stop has not been sent for some time, because their
   * agent is lost and has not returned.
   */
  void RemoveExpired();
  bool Contains(const state::ProcessId& aAgent,
                const state::RunKey& aRun) const;
  /** Returns true if a stop of any run on the agent is pending. */
  bool HasAgent(const state::ProcessId& aAgent) const;
  /** Returns the runs of a job, of all its submissions. */
  std::vector<AgentRun> RunsOf(state::DispatchJobId aJob) const;
  /** Returns the runs whose last stop was sent long enough ago to repeat it. */
  std::vector<AgentRun> Due() const;

private:
  const state::Clock& clock_;
  /** The time at which the last stop of each run was sent. */
  std::map<AgentRun, state::MonotonicTime> sentAt_;
};

}
