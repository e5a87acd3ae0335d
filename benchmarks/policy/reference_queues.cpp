#include "policy/reference_queues.h"

#include <functional>
#include <map>
#include <queue>
#include <random>

namespace greengage::policy {

namespace {

using TimeHeap =
  std::priority_queue<double, std::vector<double>, std::greater<>>;

/** All slots of one speed, with the times at which they become free. */
struct SpeedGroup
{
  double speed = 1;
  TimeHeap freeAt;
};

std::vector<SpeedGroup>
GroupBySpeed(const std::vector<FleetServer>& aFleet)
{
  std::map<double, SpeedGroup> groups;
  for (const FleetServer& server : aFleet) {
    SpeedGroup& group = groups[server.speed];
    group.speed = server.speed;
    for (std::uint32_t i = 0; i < server.slots; ++i) {
      group.freeAt.push(0);
    }
  }
  std::vector<SpeedGroup> list;
  for (auto& [speed, group] : groups) {
    list.push_back(std::move(group));
  }
  return list;
}

double
RunOnEarliestEndingSlot(std::vector<SpeedGroup>& aGroups,
                        double aNow,
                        double aWork)
{
  SpeedGroup* best = nullptr;
  double bestEnd = 0;
  for (SpeedGroup& group : aGroups) {
    double end = std::max(aNow, group.freeAt.top()) + aWork / group.speed;
    if (!best || end < bestEnd) {
      best = &group;
      bestEnd = end;
    }
  }
  best->freeAt.pop();
  best->freeAt.push(bestEnd);
  return bestEnd;
}

JobResult
Complete(const Arrival& aArrival, double aEnd)
{
  return { aEnd - aArrival.time, aEnd, true, state::RefusalCode::eNone };
}

/** A server with a FIFO queue. */
struct QueueingServer
{
  double speed = 1;
  TimeHeap freeAt;
  /** End times of the unfinished tasks. */
  TimeHeap ends;

  /** Returns the number of unfinished tasks. */
  std::size_t Load(double aNow)
  {
    while (!ends.empty() && ends.top() <= aNow) {
      ends.pop();
    }
    return ends.size();
  }

  /** Queues a task and returns its end time. */
  double Add(double aNow, double aWork)
  {
    double end = std::max(aNow, freeAt.top()) + aWork / speed;
    freeAt.pop();
    freeAt.push(end);
    ends.push(end);
    return end;
  }
};

}

std::vector<JobResult>
RunIdeal(const std::vector<FleetServer>& aFleet,
         const std::vector<Arrival>& aArrivals)
{
  std::vector<SpeedGroup> groups = GroupBySpeed(aFleet);
  std::vector<JobResult> results;
  for (const Arrival& arrival : aArrivals) {
    double end = arrival.time;
    for (const TaskSize& task : arrival.tasks) {
      end =
        std::max(end, RunOnEarliestEndingSlot(groups, arrival.time, task.work));
    }
    results.push_back(Complete(arrival, end));
  }
  return results;
}

std::vector<JobResult>
RunBaseline(const std::vector<FleetServer>& aFleet,
            const std::vector<Arrival>& aArrivals,
            ServerChoice aChoice,
            std::uint32_t aSeed)
{
  std::vector<QueueingServer> servers;
  for (const FleetServer& server : aFleet) {
    std::vector<double> free(server.slots, 0.0);
    servers.push_back(
      { server.speed, TimeHeap(std::greater<>(), std::move(free)), {} });
  }
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<std::size_t> draw(0, servers.size() - 1);
  bool probes = aChoice == ServerChoice::eLeastLoadedOfTwo;
  // Probing takes a round trip before the start message.
  double startDelay = probes ? 3 * kMessageDelay : kMessageDelay;
  std::vector<JobResult> results;
  for (const Arrival& arrival : aArrivals) {
    double end = arrival.time;
    for (const TaskSize& task : arrival.tasks) {
      QueueingServer* server = &servers[draw(random)];
      if (probes) {
        QueueingServer* other = &servers[draw(random)];
        double now = arrival.time;
        server = other->Load(now) < server->Load(now) ? other : server;
      }
      double done = server->Add(arrival.time + startDelay, task.work);
      end = std::max(end, done + kMessageDelay);
    }
    results.push_back(Complete(arrival, end));
  }
  return results;
}

}
