#include "coordination/dispatch/queue_isolation.h"

#include <algorithm>
#include <utility>

#include "coordination/subset/rendezvous_hash.h"

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/** Given-up jobs within kLimitTime that begin the limit of their queue. */
constexpr std::size_t kGivenUpToLimit = 2;
/** A limit ends this long after the last given-up job. */
constexpr milliseconds kLimitTime{ 10'000 };
constexpr std::size_t kMaxJobsPerQueue = 1024;
/** A limited queue may use one in this number of servers. */
constexpr std::size_t kIsolatedDivisor = 4;

}

QueueIsolation::QueueIsolation(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
QueueIsolation::OnGivenUp(const std::string& aQueue,
                          state::DispatchJobId aJob,
                          MonotonicTime aAt)
{
  GivenUpJobs& jobs = givenUp_[aQueue];
  if (jobs.size() < kMaxJobsPerQueue || jobs.contains(aJob)) {
    jobs[aJob] = aAt;
  }
}

MonotonicTime
QueueIsolation::LastOf(const std::string& aQueue) const
{
  MonotonicTime last{};
  auto jobs = givenUp_.find(aQueue);
  if (jobs != givenUp_.end()) {
    for (const auto& [job, at] : jobs->second) {
      last = std::max(last, at);
    }
  }
  return last;
}

QueueLimitChange
QueueIsolation::ChangeOf(const std::string& aQueue, bool aIsLimited) const
{
  auto jobs = givenUp_.find(aQueue);
  return { aQueue,
           aIsLimited,
           jobs == givenUp_.end() ? 0 : jobs->second.size(),
           std::chrono::duration_cast<milliseconds>(clock_.MonotonicNow() -
                                                    LastOf(aQueue)) };
}

std::vector<QueueLimitChange>
QueueIsolation::Update(const ServiceByQueue& aQueues)
{
  if (IsIdle()) {
    return {};
  }
  auto now = clock_.MonotonicNow();
  std::vector<QueueLimitChange> changes;
  for (auto queue = limited_.begin(); queue != limited_.end();) {
    bool ends = LastOf(*queue) + kLimitTime <= now || !aQueues.contains(*queue);
    if (ends) {
      changes.push_back(ChangeOf(*queue, false));
    }
    queue = ends ? limited_.erase(queue) : std::next(queue);
  }
  for (auto& [queue, jobs] : givenUp_) {
    std::erase_if(jobs, [now](const auto& aItem) {
      return aItem.second + kLimitTime <= now;
    });
  }
  std::erase_if(givenUp_,
                [](const auto& aItem) { return aItem.second.empty(); });

  std::map<std::string, std::size_t> queuesOf;
  std::map<std::string, std::size_t> limitedOf;
  for (const auto& [queue, service] : aQueues) {
    ++queuesOf[service];
    limitedOf[service] += limited_.contains(queue) ? 1 : 0;
  }
  // The queues with the most given-up jobs come first.
  std::vector<std::pair<std::size_t, std::string>> candidates;
  for (const auto& [queue, jobs] : givenUp_) {
    if (jobs.size() >= kGivenUpToLimit && !limited_.contains(queue) &&
        aQueues.contains(queue)) {
      candidates.emplace_back(jobs.size(), queue);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const auto& aOne, const auto& aTwo) {
              return aOne.first != aTwo.first ? aOne.first > aTwo.first
                                              : aOne.second < aTwo.second;
            });
  for (const auto& [count, queue] : candidates) {
    const std::string& service = aQueues.at(queue);
    if (limitedOf[service] < queuesOf[service] / 2) {
      ++limitedOf[service];
      limited_.insert(queue);
      changes.push_back(ChangeOf(queue, true));
    }
  }
  return changes;
}

std::set<std::string>
PickIsolatedServers(const std::string& aQueue,
                    const std::vector<std::string>& aServers)
{
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const std::string& server : aServers) {
    ranked.emplace_back(RendezvousHash(aQueue, server), server);
  }
  std::sort(ranked.begin(), ranked.end());
  std::set<std::string> picked;
  if (ranked.size() < 2) {
    return picked;
  }
  std::size_t count =
    std::max<std::size_t>(1, ranked.size() / kIsolatedDivisor);
  for (std::size_t i = 0; i < count; ++i) {
    picked.insert(ranked[i].second);
  }
  return picked;
}

}
