#include "coordination/dispatch/server_pool.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

using state::ProcessId;
using state::ResourceAmount;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/**
 * Cost of a server in another data centre, in units of log(speed): less than
 * the difference between slow and fast servers (0.8), more than the noise of
 * the speed estimates.
 */
constexpr double kRemoteDataCentreCost = 0.25;
/** Cost of a full server compared with an empty one, in the same unit. */
constexpr double kFillCost = 0.3;
/**
 * Cost of an unreliable server. It exceeds the other costs, so that the server
 * is only used if no other has free capacity.
 */
constexpr double kUnreliableCost = 2;
/** Delay of an ignored start until the list reveals it and it is repeated. */
constexpr double kUnreliableDelayMs = 150;
/**
 * Cost factor of the probability to miss the deadline: a risk of 8% outweighs
 * the cost of using a fast server for a task that a slow one could run.
 */
constexpr double kRiskCost = 10;
/**
 * Cost of a suspect for each run that would be lost with its server, in units
 * of log(speed). It exceeds the other costs.
 */
constexpr double kLostRunCost = 2;
/**
 * Agents repeat their description every 3 s. One that sends none for this time
 * has released its server, and its last report was lost.
 */
constexpr milliseconds kReportTimeout{ 10'000 };
/** Contact timeout after which an agent with runs gets no new runs. */
constexpr milliseconds kContactTimeout{ 800 };

}

ServerPool::ServerPool(std::string aDataCentre, const state::Clock& aClock)
  : dataCentre_(std::move(aDataCentre))
  , clock_(aClock)
  , model_(aClock)
{
}

void
ServerPool::OnAgent(const ProcessInfo& aAgent)
{
  servers_[aAgent.id].agent = aAgent;
}

std::vector<RunKey>
ServerPool::OnAgentLost(const ProcessId& aAgent)
{
  auto runs = RunsOn(aAgent);
  servers_.erase(aAgent);
  model_.RemoveServer(aAgent);
  return runs;
}

void
ServerPool::OnReport(const ProcessId& aAgent, const ServerReport& aReport)
{
  Server& server = servers_[aAgent];
  if (aReport.description) {
    if (server.description &&
        server.description->id != aReport.description->id) {
      // The new server of this agent may be on other hardware.
      model_.RemoveServer(aAgent);
      server.failuresInRow = 0;
      server.ejections = 0;
      server.cooldownUntil = {};
      server.largestCapacity = {};
    }
    server.description = aReport.description;
    server.largestCapacity =
      Max(server.largestCapacity, server.description->capacity);
  }
  server.condition = aReport.condition;
  server.isReleased = aReport.isReleased;
  server.usedByOthers = aReport.usedByOthers;
  server.lastContactAt = clock_.MonotonicNow();
}

bool
ServerPool::IsMatching(const Server& aServer, const PlacementRequest& aRequest)
{
  if (!aServer.description || aServer.isReleased ||
      aServer.description->service != aRequest.service) {
    return false;
  }
  const auto& labels = aServer.description->labels;
  return aRequest.requiredLabel.empty() ||
         std::find(labels.begin(), labels.end(), aRequest.requiredLabel) !=
           labels.end();
}

bool
ServerPool::IsSuitable(const Server& aServer,
                       const PlacementRequest& aRequest) const
{
  return IsMatching(aServer, aRequest) && AcceptsRuns(aServer.condition) &&
         !IsEvacuated(aServer) && aServer.agent.id != aRequest.excludedServer;
}

bool
ServerPool::IsUsable(const Server& aServer,
                     const PlacementRequest& aRequest) const
{
  return IsSuitable(aServer, aRequest) && IsPermitted(aServer, aRequest) &&
         Fits(aRequest.need, aServer.description->capacity);
}

bool
ServerPool::HasFittedBefore(const PlacementRequest& aRequest) const
{
  return std::any_of(
    servers_.begin(), servers_.end(), [&](const auto& aServer) {
      return IsSuitable(aServer.second, aRequest) &&
             Fits(aRequest.need, aServer.second.largestCapacity);
    });
}

bool
ServerPool::HasFreeCapacity(const Server& aServer,
                            const PlacementRequest& aRequest) const
{
  auto now = clock_.MonotonicNow();
  if (now < aServer.cooldownUntil || aServer.runs.size() >= kMaxRunsPerServer) {
    return false;
  }
  // Two suspects on one server could not be distinguished after a crash.
  if (aRequest.isSuspect &&
      (!aServer.suspects.empty() || now < aServer.suspectCooldownUntil)) {
    return false;
  }
  if (!aServer.runs.empty() && now - aServer.lastContactAt > kContactTimeout) {
    return false;
  }
  // A server that was ejected gets one run at a time until a run succeeds.
  if (aServer.ejections > 0 && !aServer.runs.empty()) {
    return false;
  }
  return Fits(aRequest.need,
              aServer.description->capacity -
                (aServer.usedByOthers + aServer.usedByEntry));
}

double
ServerPool::RunTime(const Server& aServer,
                    const PlacementRequest& aRequest) const
{
  double time = aRequest.workMs / model_.Speed(aServer.agent.id);
  if (!aRequest.dataRack.empty()) {
    const auto& labels = aServer.description->labels;
    bool isNear = std::find(labels.begin(), labels.end(), aRequest.dataRack) !=
                  labels.end();
    time *= isNear ? 1 : aRequest.remoteRackFactor;
  }
  if (aServer.condition == ServerCondition::eUnreliable) {
    time += kUnreliableDelayMs;
  }
  return time;
}

double
ServerPool::Cost(const Server& aServer,
                 double aRunTimeMs,
                 const PlacementRequest& aRequest) const
{
  const ResourceAmount& capacity = aServer.description->capacity;
  double used = (aServer.usedByOthers + aServer.usedByEntry).cpuMillicores;
  double fill = used / std::max<double>(1, capacity.cpuMillicores);
  // Fast servers cost more, to reserve them for tasks that need their speed.
  double speed = std::log(aRequest.workMs / std::max(1.0, aRunTimeMs));
  double remote =
    aServer.agent.dataCentre == dataCentre_ ? 0 : kRemoteDataCentreCost;
  double risk = 0;
  if (aRequest.workDeviation > 0 && aRequest.deadlineMs > 0) {
    // Probability that a log-normally distributed run exceeds the deadline.
    double margin = std::log(aRequest.deadlineMs / std::max(1.0, aRunTimeMs));
    risk = 0.5 * std::erfc(margin / aRequest.workDeviation / std::sqrt(2.0));
  }
  double unreliable =
    aServer.condition == ServerCondition::eUnreliable ? kUnreliableCost : 0;
  return unreliable + speed + remote + kFillCost * fill + kRiskCost * risk;
}

double
ServerPool::SuspectCost(const Server& aServer,
                        const PlacementRequest& aRequest) const
{
  if (!aRequest.isSuspect) {
    return aServer.suspects.empty() ? 0 : kLostRunCost;
  }
  double others = aServer.usedByOthers.cpuMillicores;
  double othersRuns = others / std::max(1u, aRequest.need.cpuMillicores);
  return kLostRunCost * (static_cast<double>(aServer.runs.size()) + othersRuns);
}

std::optional<Placement>
ServerPool::Choose(const PlacementRequest& aRequest,
                   const std::map<ProcessId, std::uint32_t>& aStepRuns,
                   std::uint32_t aMaxPerServer) const
{
  std::optional<Placement> best;
  double bestCost = 0;
  for (const auto& [id, server] : servers_) {
    if (!IsUsable(server, aRequest) || !HasFreeCapacity(server, aRequest)) {
      continue;
    }
    auto stepRuns = aStepRuns.find(id);
    if (aMaxPerServer != 0 && stepRuns != aStepRuns.end() &&
        stepRuns->second >= aMaxPerServer) {
      continue;
    }
    double time = RunTime(server, aRequest);
    if (time > aRequest.latestMs) {
      continue;
    }
    bool meets = time <= aRequest.objectiveMs;
    // Among servers that miss the objective, the fastest is chosen.
    double cost = meets ? Cost(server, time, aRequest) : std::log(time);
    cost += SuspectCost(server, aRequest) + IsolationCost(server, aRequest);
    bool better = !best || (meets && !best->meetsObjective) ||
                  (meets == best->meetsObjective && cost < bestCost);
    if (better) {
      best = Placement{ id, time, meets };
      bestCost = cost;
    }
  }
  return best;
}

std::optional<double>
ServerPool::ShortestRunTime(const PlacementRequest& aRequest) const
{
  std::optional<double> shortest;
  for (const auto& [id, server] : servers_) {
    if (!IsUsable(server, aRequest)) {
      continue;
    }
    double time = RunTime(server, aRequest);
    if (!shortest || time < *shortest) {
      shortest = time;
    }
  }
  return shortest;
}

UsableCapacity
ServerPool::CapacityFor(const PlacementRequest& aRequest) const
{
  UsableCapacity sum;
  for (const auto& [id, server] : servers_) {
    if (!IsUsable(server, aRequest)) {
      continue;
    }
    const ResourceAmount& capacity = server.description->capacity;
    double speed = model_.Speed(id);
    sum.total += speed * capacity.cpuMillicores;
    sum.notUsedByOthers +=
      speed * (capacity - server.usedByOthers).cpuMillicores;
  }
  return sum;
}

void
ServerPool::OnRunSent(const ProcessId& aServer,
                      const RunKey& aRun,
                      const ResourceAmount& aNeed,
                      bool aIsSuspect)
{
  Server& server = servers_[aServer];
  if (server.runs.empty()) {
    // The contact timeout starts with the first order, because idle agents send
    // no messages.
    server.lastContactAt = clock_.MonotonicNow();
  }
  server.runs[aRun] = aNeed;
  if (aIsSuspect) {
    server.suspects.insert(aRun);
  }
  server.usedByEntry = server.usedByEntry + aNeed;
}

bool
ServerPool::OnRunEnded(const ProcessId& aServer, const RunKey& aRun)
{
  auto server = servers_.find(aServer);
  if (server == servers_.end()) {
    return false;
  }
  auto run = server->second.runs.find(aRun);
  if (run == server->second.runs.end()) {
    return false;
  }
  server->second.usedByEntry = server->second.usedByEntry - run->second;
  server->second.runs.erase(run);
  server->second.suspects.erase(aRun);
  return true;
}

std::vector<RunKey>
ServerPool::RunsOn(const ProcessId& aServer) const
{
  std::vector<RunKey> runs;
  auto server = servers_.find(aServer);
  if (server != servers_.end()) {
    for (const auto& [key, need] : server->second.runs) {
      runs.push_back(key);
    }
  }
  return runs;
}

std::vector<ProcessId>
ServerPool::ReleasedAgents() const
{
  auto now = clock_.MonotonicNow();
  std::vector<ProcessId> released;
  for (const auto& [id, server] : servers_) {
    bool isSilent =
      server.description && now - server.lastContactAt > kReportTimeout;
    if ((server.isReleased || isSilent) && server.runs.empty()) {
      released.push_back(id);
    }
  }
  return released;
}

std::vector<ProcessId>
ServerPool::AgentsInUse() const
{
  std::vector<ProcessId> agents;
  for (const auto& [id, server] : servers_) {
    if (!server.runs.empty()) {
      agents.push_back(id);
    }
  }
  return agents;
}

std::size_t
ServerPool::ReadyServers() const
{
  auto ready = std::count_if(
    servers_.begin(), servers_.end(), [this](const auto& aServer) {
      return aServer.second.description &&
             AcceptsRuns(aServer.second.condition) &&
             !IsEvacuated(aServer.second);
    });
  return static_cast<std::size_t>(ready);
}

std::vector<DispatchServerView>
ServerPool::Views() const
{
  auto now = clock_.MonotonicNow();
  std::vector<DispatchServerView> views;
  for (const auto& [id, server] : servers_) {
    if (!server.description) {
      continue;
    }
    auto cooldown = std::max<state::MonotonicTime::duration>(
      server.cooldownUntil - now, milliseconds(0));
    views.push_back({ id,
                      server.description->id,
                      server.agent.dataCentre,
                      server.condition,
                      model_.Speed(id),
                      server.description->capacity,
                      server.usedByOthers + server.usedByEntry,
                      server.runs.size(),
                      server.failuresInRow,
                      std::chrono::duration_cast<milliseconds>(cooldown),
                      IsEvacuated(server) });
  }
  return views;
}

std::size_t
ServerPool::CountIn(const std::string& aDataCentre) const
{
  auto count =
    std::count_if(servers_.begin(), servers_.end(), [&](const auto& aServer) {
      return aServer.second.agent.dataCentre == aDataCentre;
    });
  return static_cast<std::size_t>(count);
}

state::MonotonicTime
ServerPool::LastContactAt(const ProcessId& aAgent) const
{
  auto server = servers_.find(aAgent);
  return server == servers_.end() ? state::MonotonicTime()
                                  : server->second.lastContactAt;
}

std::optional<ProcessId>
ServerPool::OlderOnAddress(const ProcessInfo& aAgent) const
{
  for (const auto& [id, server] : servers_) {
    if (id != aAgent.id && server.agent.peerAddress == aAgent.peerAddress) {
      return id;
    }
  }
  return std::nullopt;
}

bool
ServerPool::Contains(const ProcessId& aAgent) const
{
  return servers_.contains(aAgent);
}

}
