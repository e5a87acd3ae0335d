#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/dispatch/dispatch_job_id.h"

namespace greengage::coordination {

/** The begin or the end of the limit of a queue. */
struct QueueLimitChange
{
  std::string queue;
  bool isLimited = false;
  /** Jobs of the queue that were given up recently. */
  std::size_t givenUpJobs = 0;
  /** Time since the last of them was given up. */
  std::chrono::milliseconds sinceLast{ 0 };

  auto operator<=>(const QueueLimitChange&) const = default;
};

/**
 * Decides which queues may use only a share of the servers of their service,
 * because their jobs crash servers and the other queues need the rest. Never
 * limits more than half of the queues of a service. Used by the control thread
 * only.
 */
class QueueIsolation
{
public:
  /** Names of queues, with their services. */
  using ServiceByQueue = std::map<std::string, std::string>;

  explicit QueueIsolation(const state::Clock& aClock);

  /** Records a job that was given up because its tasks crash servers. */
  void OnGivenUp(const std::string& aQueue,
                 state::DispatchJobId aJob,
                 state::MonotonicTime aAt);
  /** Begins and ends limits; returns what has changed. */
  std::vector<QueueLimitChange> Update(const ServiceByQueue& aQueues);

  bool IsLimited(const std::string& aQueue) const
  {
    return limited_.contains(aQueue);
  }
  const std::set<std::string>& Limited() const { return limited_; }
  /** Returns true if Update() cannot change anything. */
  bool IsIdle() const { return givenUp_.empty() && limited_.empty(); }

private:
  /** The jobs that were given up, and when. */
  using GivenUpJobs = std::map<state::DispatchJobId, state::MonotonicTime>;

  state::MonotonicTime LastOf(const std::string& aQueue) const;
  QueueLimitChange ChangeOf(const std::string& aQueue, bool aIsLimited) const;

  const state::Clock& clock_;
  std::map<std::string, GivenUpJobs> givenUp_;
  std::set<std::string> limited_;
};

/**
 * Returns the servers that a limited queue may use: a quarter of them, at least
 * one. All entries pick the same by rendezvous hashing. Empty, and no limit is
 * possible, if there are fewer than two servers.
 * @param aServers addresses of the agents
 */
std::set<std::string>
PickIsolatedServers(const std::string& aQueue,
                    const std::vector<std::string>& aServers);

}
