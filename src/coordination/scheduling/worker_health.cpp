#include "coordination/scheduling/worker_health.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace greengage::coordination {

namespace {

// A short window finds a server that breaks after long success: about ten
// failures in a row eject it whatever it did before.
constexpr float kServerWindow = 16;
constexpr float kFleetWindow = 1024;
constexpr float kMinFailures = 4;
// Results of other servers that are needed for a comparison.
constexpr float kMinOtherResults = 8;
// Excess over the expected failures: a share of the results, plus two
// standard deviations of a count with that expectation.
constexpr float kMinExcessShare = 0.4F;
constexpr float kExcessDeviations = 2;
// A template that fails this often elsewhere says nothing about a server.
constexpr float kFailingElsewhere = 0.5F;
constexpr std::uint32_t kRepeatedFailures = 2;
constexpr std::size_t kMaxFailingJobs = 4096;
// A server that is ejected again within this time stays out twice as long.
constexpr std::chrono::minutes kRelapseTime{ 5 };
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
  serverCount_ += server.known ? 0 : 1;
  server.known = true;
  server.slots = aSlots;
}

void
WorkerHealth::RemoveServer(ServerIndex aServer)
{
  Server& server = servers_[aServer];
  if (server.state != HealthState::eHealthy) {
    --outOfService_;
  }
  ejected_.erase({ server.ejectedUntil, aServer });
  server = Server{};
  --serverCount_;
  // The position may be given to a server that never failed.
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
    server.failuresInARow = 0;
    return OnSuccess(aSample.server, aNow);
  }
  ++server.failuresInARow;
  if (server.state == HealthState::eEjected) {
    return {};
  }
  if (server.state == HealthState::eProbation) {
    const Tally& fleet = FleetTally(aSample.workTemplate);
    bool failsElsewhere = fleet.failures > kFailingElsewhere * fleet.results;
    return failsElsewhere ? std::vector<LimitChange>{}
                          : Eject(aSample.server, aNow);
  }
  return OutOfLine(server) ? Eject(aSample.server, aNow)
                           : std::vector<LimitChange>{};
}

std::vector<LimitChange>
WorkerHealth::Tick(state::MonotonicTime aNow)
{
  std::vector<LimitChange> changes;
  while (!ejected_.empty() && ejected_.begin()->first <= aNow) {
    ServerIndex index = ejected_.begin()->second;
    ejected_.erase(ejected_.begin());
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
  return servers_[aServer].failuresInARow >= kRepeatedFailures;
}

HealthState
WorkerHealth::State(ServerIndex aServer) const
{
  return servers_[aServer].state;
}

bool
WorkerHealth::CountsAgainstServer(const HealthSample& aSample)
{
  auto [entry, added] = jobFailures_.try_emplace(aSample.job);
  if (added) {
    jobOrder_.push_back(aSample.job);
    if (jobOrder_.size() > kMaxFailingJobs) {
      jobFailures_.erase(jobOrder_.front());
      jobOrder_.pop_front();
    }
  }
  JobFailures& failures = entry->second;
  auto last = failures.servers.begin() + failures.count;
  if (failures.count == failures.servers.size() ||
      std::find(failures.servers.begin(), last, aSample.server) != last) {
    return false;
  }
  failures.servers[failures.count++] = aSample.server;
  if (failures.count < failures.servers.size()) {
    return true;
  }
  Uncount(failures, aSample);
  ++counters_.failingJobs;
  return false;
}

void
WorkerHealth::Uncount(const JobFailures& aFailures, const HealthSample& aSample)
{
  for (ServerIndex index : aFailures.servers) {
    if (index == aSample.server || index >= servers_.size()) {
      continue;
    }
    TallyOf(index, aSample.workTemplate).Remove();
    FleetTally(aSample.workTemplate).Remove();
    servers_[index].failuresInARow = 0;
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
  if (aTemplate >= fleet_.size()) {
    fleet_.resize(aTemplate + 1);
  }
  return fleet_[aTemplate];
}

bool
WorkerHealth::OutOfLine(const Server& aServer) const
{
  float results = 0;
  float failures = 0;
  float expected = 0;
  for (std::size_t i = 0; i < aServer.byTemplate.size(); ++i) {
    const Tally& own = aServer.byTemplate[i];
    float otherResults = fleet_[i].results - own.results;
    float otherFailures = std::max(fleet_[i].failures - own.failures, 0.0F);
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
  --outOfService_;
  ++counters_.reinstatements;
  return { { aServer, kNoLimit } };
}

std::vector<LimitChange>
WorkerHealth::Eject(ServerIndex aServer, state::MonotonicTime aNow)
{
  Server& server = servers_[aServer];
  if (server.state == HealthState::eHealthy) {
    double allowed = settings_.maxEjectedShare * double(serverCount_);
    if (double(outOfService_ + 1) > allowed) {
      ++counters_.ejectionsOverCap;
      return {};
    }
    ++outOfService_;
  }
  bool relapse =
    server.state == HealthState::eProbation ||
    (server.ejection.count() > 0 && aNow - server.reinstatedAt < kRelapseTime);
  server.ejection = relapse
                      ? std::min(server.ejection * 2, settings_.longestEjection)
                      : settings_.firstEjection;
  server.state = HealthState::eEjected;
  server.ejectedUntil = aNow + server.ejection;
  server.limit = 0;
  server.byTemplate.clear();
  ejected_.insert({ server.ejectedUntil, aServer });
  ++counters_.ejections;
  return { { aServer, server.limit } };
}

}
