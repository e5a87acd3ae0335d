#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/run_time_model.h"
#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** What a task needs of a server, and by when. */
struct PlacementRequest
{
  std::string service;
  state::ResourceAmount need;
  std::string requiredLabel;
  std::string dataRack;
  /** Factor on the run time away from the rack of the data. */
  double farFactor = 1;
  /** Expected work in ms at speed 1. */
  double workMs = 0;
  /** Longest run time that still meets the objective, in ms. */
  double objectiveMs = 0;
  /** Time to the deadline, which does not grow with the work, in ms. */
  double deadlineMs = 0;
  /** Standard deviation of the logarithm of the work. */
  double workDeviation = 0;
  /** Longest run time of which the answer is still of use, in ms. */
  double latestMs = 0;
  /** Server that is of no use, because the task is to leave it; none if zero.
   */
  state::ProcessId except;
};

/** What an entry believes of one server, for operators. */
struct ServerView
{
  state::ProcessId agent;
  std::string server;
  std::string dataCentre;
  ServerCondition condition = ServerCondition::eUnreachable;
  /** Learned; 1 is what callers estimate with. */
  double speed = 1;
  state::ResourceAmount capacity;
  state::ResourceAmount used;
  std::size_t ownRuns = 0;
  unsigned failuresInRow = 0;
  /** Time for which it gets no new runs after failures. */
  std::chrono::milliseconds leftAlone{ 0 };

  auto operator<=>(const ServerView&) const = default;
};

/** Where a task can go now. */
struct Placement
{
  state::ProcessId server;
  double runTimeMs = 0;
  bool meetsObjective = false;
};

/**
 * What an entry believes of the backend servers: their room, speed and health.
 * The agent beside each server remains the authority over its room. Used by
 * the control thread only.
 */
class ServerPool
{
public:
  ServerPool(std::string aDataCentre, const state::Clock& aClock);

  void OnAgent(const ProcessInfo& aAgent);
  /** Forgets the agent; returns the entry's runs that it had. */
  std::vector<state::RunKey> OnAgentGone(const state::ProcessId& aAgent);
  void OnReport(const state::ProcessId& aAgent, const ServerReport& aReport);

  /** Best server with room; empty if there is none at the moment. */
  std::optional<Placement> Choose(
    const PlacementRequest& aRequest,
    const std::map<state::ProcessId, std::uint32_t>& aStepRuns,
    std::uint32_t aMaxPerServer) const;
  /** Shortest run time on any sound server, with or without room. */
  std::optional<double> ShortestRunTime(const PlacementRequest& aRequest) const;

  void OnRunSent(const state::ProcessId& aServer,
                 const state::RunKey& aRun,
                 const state::ResourceAmount& aNeed);
  /** False if the run is not known here. */
  bool OnRunEnded(const state::ProcessId& aServer, const state::RunKey& aRun);
  void OnRunDone(const state::ProcessId& aServer);
  /** A run failed or hung, and not because of its job. */
  void OnRunFailed(const state::ProcessId& aServer);

  /** The server refused a start; it is left alone for a moment. */
  void OnRefused(const state::ProcessId& aServer);

  std::vector<state::RunKey> RunsOn(const state::ProcessId& aServer) const;
  /** Agents that have runs of this entry. */
  std::vector<state::ProcessId> AgentsInUse() const;
  std::size_t ReadyServers() const;
  std::vector<ServerView> Views() const;
  std::size_t Count() const { return servers_.size(); }
  /** Servers in one data centre. */
  std::size_t CountIn(const std::string& aDataCentre) const;
  state::MonotonicTime HeardAt(const state::ProcessId& aAgent) const;
  /** Identity of an older process on the agent's address, if there is one. */
  std::optional<state::ProcessId> OlderOnAddress(
    const ProcessInfo& aAgent) const;
  bool Knows(const state::ProcessId& aAgent) const;

  RunTimeModel& Model() { return model_; }
  const RunTimeModel& Model() const { return model_; }

private:
  struct Server
  {
    ProcessInfo agent;
    std::optional<ServerDescription> description;
    ServerCondition condition = ServerCondition::eUnreachable;
    state::ResourceAmount usedByOthers;
    state::ResourceAmount own;
    std::map<state::RunKey, state::ResourceAmount> runs;
    state::MonotonicTime heardAt;
    state::MonotonicTime avoidUntil;
    unsigned failuresInRow = 0;
    /** Ejections since the last success; each doubles the pause. */
    unsigned ejections = 0;
  };

  bool IsUsable(const Server& aServer, const PlacementRequest& aRequest) const;
  bool HasRoom(const Server& aServer, const PlacementRequest& aRequest) const;
  double RunTime(const Server& aServer, const PlacementRequest& aRequest) const;
  double Cost(const Server& aServer,
              double aRunTimeMs,
              const PlacementRequest& aRequest) const;

  std::string dataCentre_;
  const state::Clock& clock_;
  RunTimeModel model_;
  std::map<state::ProcessId, Server> servers_;
};

}
