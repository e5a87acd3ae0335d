#include "coordination/scheduling/worker_health.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace greengage::coordination {

namespace {

// With a short window a server that starts to fail after many successes is
// ejected after about ten failures in a row.
constexpr float kServerWindow = 16;
constexpr float kFleetWindow = 1024;
constexpr float kMinFailures = 4;
// Minimum number of results of other servers for a comparison.
constexpr float kMinOtherResults = 8;
// A server is ejected if its failures exceed the expected number by more than
// this share of its results plus two standard deviations of the expected count.
constexpr float kMinExcessShare = 0.4F;
constexpr float kExcessDeviations = 2;
// Failures of a template that fails more often than this in the whole fleet are
// no evidence against a server.
constexpr float kFailingElsewhere = 0.5F;
constexpr std::uint32_t kMinConsecutiveFailures = 2;
constexpr std::size_t kMaxTrackedJobs = 4096;
// If a server is ejected again within this time after its reinstatement, the
// ejection lasts twice as long as the previous one.
constexpr std::chrono::minutes kRepeatedEjectionWindow{ 5 };
constexpr std::uint32_t kNoLimit = std::numeric_limits<std::uint32_t>::max();

}

void
WorkerHealth::Tally::Add(bool aFailed, float aWindow)
{
  if (results >= aWindow) {
    results /= 2;
    failures /= 2;
  }
  results += 1;
  failures += aFailed ? 1 : 0;
}

void
WorkerHealth::Tally::Remove()
{
  results = std::max(results - 1, 0.0F);
  failures = std::max(failures - 1, 0.0F);
}

WorkerHealth::WorkerHealth(SchedulerSettings aSettings)
  : settings_(aSettings)
{
}

void
WorkerHealth::AddServer(ServerIndex aServer, std::uint32_t aSlots)
{
  if (aServer >= servers_.size()) {
    servers_.resize(aServer + 1);
  }
  Server& server = servers_[aServer];
  serverCount_ += server.isKnown ? 0 : 1;
  server.isKnown = true;
  server.slots = aSlots;
}

void
WorkerHealth::RemoveServer(ServerIndex aServer)
{
  Server& server = servers_[aServer];
  if (server.state != HealthState::eHealthy) {
    --outOfServiceCount_;
  }
  ejectionEnds_.erase({ server.ejectedUntil, aServer });
  server = Server{};
  --serverCount_;
  // The index may be reused for another server, which has no failures yet.
  for (auto& [job, failures] : jobFailures_) {
    std::replace(failures.servers.begin(),
                 failures.servers.end(),
                 aServer,
                 std::numeric_limits<ServerIndex>::max());
  }
}

std::vector<LimitChange>
WorkerHealth::OnResult(const HealthSample& aSample, state::MonotonicTime aNow)
{
  Server& server = servers_[aSample.server];
  if (aSample.failed && !CountsAgainstServer(aSample)) {
    return {};
  }
  TallyOf(aSample.server, aSample.workTemplate)
    .Add(aSample.failed, kServerWindow);
  FleetTally(aSample.workTemplate).Add(aSample.failed, kFleetWindow);
  if (!aSample.failed) {
    server.consecutiveFailures = 0;
    return OnSuccess(aSample.server, aNow);
  }
  ++server.consecutiveFailures;
  if (server.state == HealthState::eEjected) {
    return {};
  }
  if (server.state == HealthState::eProbation) {
    const Tally& fleet = FleetTally(aSample.workTemplate);
    bool failsElsewhere = fleet.failures > kFailingElsewhere * fleet.results;
    return failsElsewhere ? std::vector<LimitChange>{}
                          : Eject(aSample.server, aNow);
  }
  return IsOutlier(server) ? Eject(aSample.server, aNow)
                           : std::vector<LimitChange>{};
}

std::vector<LimitChange>
WorkerHealth::Tick(state::MonotonicTime aNow)
{
  std::vector<LimitChange> changes;
  while (!ejectionEnds_.empty() && ejectionEnds_.begin()->first <= aNow) {
    ServerIndex index = ejectionEnds_.begin()->second;
    ejectionEnds_.erase(ejectionEnds_.begin());
    Server& server = servers_[index];
    server.state = HealthState::eProbation;
    server.limit = 1;
    changes.push_back({ index, server.limit });
  }
  return changes;
}

bool
WorkerHealth::FailsRepeatedly(ServerIndex aServer) const
{
  return servers_[aServer].consecutiveFailures >= kMinConsecutiveFailures;
}

HealthState
WorkerHealth::State(ServerIndex aServer) const
{
  return servers_[aServer].state;
}

bool
WorkerHealth::CountsAgainstServer(const HealthSample& aSample)
{
  auto [found, added] = jobFailures_.try_emplace(aSample.job);
  if (added) {
    trackedJobs_.push_back(aSample.job);
    if (trackedJobs_.size() > kMaxTrackedJobs) {
      jobFailures_.erase(trackedJobs_.front());
      trackedJobs_.pop_front();
    }
  }
  JobFailures& failures = found->second;
  auto last = failures.servers.begin() + failures.count;
  if (failures.count == failures.servers.size() ||
      std::find(failures.servers.begin(), last, aSample.server) != last) {
    return false;
  }
  failures.servers[failures.count++] = aSample.server;
  if (failures.count < failures.servers.size()) {
    return true;
  }
  RemoveFailures(failures, aSample);
  ++counters_.failingJobs;
  return false;
}

void
WorkerHealth::RemoveFailures(const JobFailures& aFailures,
                             const HealthSample& aSample)
{
  for (ServerIndex index : aFailures.servers) {
    if (index == aSample.server || index >= servers_.size()) {
      continue;
    }
    TallyOf(index, aSample.workTemplate).Remove();
    FleetTally(aSample.workTemplate).Remove();
    servers_[index].consecutiveFailures = 0;
  }
}

WorkerHealth::Tally&
WorkerHealth::TallyOf(ServerIndex aServer, TemplateIndex aTemplate)
{
  auto& tallies = servers_[aServer].byTemplate;
  if (aTemplate >= tallies.size()) {
    tallies.resize(aTemplate + 1);
  }
  return tallies[aTemplate];
}

WorkerHealth::Tally&
WorkerHealth::FleetTally(TemplateIndex aTemplate)
{
  if (aTemplate >= fleetTallies_.size()) {
    fleetTallies_.resize(aTemplate + 1);
  }
  return fleetTallies_[aTemplate];
}

bool
WorkerHealth::IsOutlier(const Server& aServer) const
{
  float results = 0;
  float failures = 0;
  float expected = 0;
  for (std::size_t i = 0; i < aServer.byTemplate.size(); ++i) {
    const Tally& own = aServer.byTemplate[i];
    float otherResults = fleetTallies_[i].results - own.results;
    float otherFailures =
      std::max(fleetTallies_[i].failures - own.failures, 0.0F);
    if (otherResults < kMinOtherResults) {
      continue;
    }
    results += own.results;
    failures += own.failures;
    expected += own.results * otherFailures / otherResults;
  }
  float allowed = expected + kExcessDeviations * std::sqrt(expected) +
                  kMinExcessShare * results;
  return failures >= kMinFailures && failures > allowed;
}

std::vector<LimitChange>
WorkerHealth::OnSuccess(ServerIndex aServer, state::MonotonicTime aNow)
{
  Server& server = servers_[aServer];
  if (server.state != HealthState::eProbation) {
    return {};
  }
  server.limit *= 2;
  if (server.limit < server.slots) {
    return { { aServer, server.limit } };
  }
  server.state = HealthState::eHealthy;
  server.reinstatedAt = aNow;
  server.byTemplate.clear();
  --outOfServiceCount_;
  ++counters_.reinstatements;
  return { { aServer, kNoLimit } };
}

std::vector<LimitChange>
WorkerHealth::Eject(ServerIndex aServer, state::MonotonicTime aNow)
{
  Server& server = servers_[aServer];
  if (server.state == HealthState::eHealthy) {
    double allowed = settings_.maxEjectedShare * double(serverCount_);
    if (double(outOfServiceCount_ + 1) > allowed) {
      ++counters_.ejectionsOverCap;
      return {};
    }
    ++outOfServiceCount_;
  }
  bool isRepeated = server.state == HealthState::eProbation ||
                    (server.ejectionTime.count() > 0 &&
                     aNow - server.reinstatedAt < kRepeatedEjectionWindow);
  server.ejectionTime =
    isRepeated ? std::min(server.ejectionTime * 2, settings_.maxEjectionTime)
               : settings_.baseEjectionTime;
  server.state = HealthState::eEjected;
  server.ejectedUntil = aNow + server.ejectionTime;
  server.limit = 0;
  server.byTemplate.clear();
  ejectionEnds_.insert({ server.ejectedUntil, aServer });
  ++counters_.ejections;
  return { { aServer, server.limit } };
}

}
