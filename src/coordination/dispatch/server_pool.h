#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/run_time_model.h"
#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Requirements of a task on a server, and its time limits. */
struct PlacementRequest
{
  std::string service;
  /** Queue of the job; see ServerPool::Isolate(). */
  std::string queue;
  state::ResourceAmount need;
  std::string requiredLabel;
  std::string dataRack;
  /** Factor on the run time outside the rack of the data. */
  double remoteRackFactor = 1;
  /** Expected work in ms at speed 1. */
  double workMs = 0;
  /** Longest run time that still meets the objective, in ms. */
  double objectiveMs = 0;
  /** Time until the deadline, which does not grow with the work, in ms. */
  double deadlineMs = 0;
  /** Standard deviation of the logarithm of the work. */
  double workDeviation = 0;
  /** Longest run time whose result is still useful, in ms. */
  double latestMs = 0;
  /** Server that the task moves away from; zero if there is none. */
  state::ProcessId excludedServer;
  /** The task is suspected to crash servers. */
  bool isSuspect = false;
};

/** The entry's view of one server, for operators. */
struct DispatchServerView
{
  state::ProcessId agent;
  std::string server;
  std::string dataCentre;
  ServerCondition condition = ServerCondition::eUnreachable;
  /** Estimated speed; callers' estimates refer to speed 1. */
  double speed = 1;
  state::ResourceAmount capacity;
  state::ResourceAmount used;
  std::size_t ownRuns = 0;
  unsigned failuresInRow = 0;
  /** Remaining time without new runs after failures. */
  std::chrono::milliseconds cooldown{ 0 };
  /** Its data centre is evacuated, so that it gets no new runs. */
  bool isEvacuated = false;

  auto operator<=>(const DispatchServerView&) const = default;
};

/**
 * Capacity of the servers that can run a task, with or without free capacity,
 * in millicores at speed 1.
 */
struct UsableCapacity
{
  double total = 0;
  /** Part that other entries do not use at present. */
  double notUsedByOthers = 0;

  auto operator<=>(const UsableCapacity&) const = default;
};

/** A server that can run a task now, and the expected run time. */
struct Placement
{
  state::ProcessId server;
  double runTimeMs = 0;
  bool meetsObjective = false;
};

/**
 * The entry's view of the backend servers: their free capacity, speed and
 * health. The agent beside each server remains the authority over its capacity.
 * Used by the control thread only.
 */
class ServerPool
{
public:
  ServerPool(std::string aDataCentre, const state::Clock& aClock);

  void OnAgent(const ProcessInfo& aAgent);
  /** Removes the agent; returns the runs that this entry had on it. */
  std::vector<state::RunKey> OnAgentLost(const state::ProcessId& aAgent);
  void OnReport(const state::ProcessId& aAgent, const ServerReport& aReport);

  /** Returns the best server with free capacity; empty if there is none. */
  std::optional<Placement> Choose(
    const PlacementRequest& aRequest,
    const std::map<state::ProcessId, std::uint32_t>& aStepRuns,
    std::uint32_t aMaxPerServer) const;
  /**
   * Returns the shortest run time on any server that can run the task, with or
   * without free capacity at present.
   */
  std::optional<double> ShortestRunTime(const PlacementRequest& aRequest) const;
  /** Returns the capacity that the tasks of this entry share. */
  UsableCapacity CapacityFor(const PlacementRequest& aRequest) const;
  /**
   * Returns true if a server that accepts runs has announced enough capacity
   * for the task, now or earlier.
   */
  bool HasFittedBefore(const PlacementRequest& aRequest) const;
  /**
   * Sets the data centres whose servers get no new runs and count as no
   * capacity.
   */
  void SetEvacuated(std::set<std::string> aDataCentres);
  /**
   * Returns true if only servers in evacuated data centres have announced
   * enough capacity for the task.
   */
  bool FitsOnlyEvacuated(const PlacementRequest& aRequest) const;
  /** Returns true if a known server is in an evacuated data centre. */
  bool HasEvacuatedServer() const;

  void OnRunSent(const state::ProcessId& aServer,
                 const state::RunKey& aRun,
                 const state::ResourceAmount& aNeed,
                 bool aIsSuspect = false);
  /** Returns false if the run is not registered on this server. */
  bool OnRunEnded(const state::ProcessId& aServer, const state::RunKey& aRun);
  void OnRunDone(const state::ProcessId& aServer);
  /**
   * Records a run that failed for reasons other than its job. Runs that were
   * already there when the server was ejected do not count.
   */
  void OnRunFailed(const state::ProcessId& aServer);
  /**
   * Records a run that hangs. Runs that become overdue together count once: a
   * single lost answer of the server delays the ends of all of them.
   */
  void OnRunOverdue(const state::ProcessId& aServer);

  /** Readmits an ejected server that crashed: its new incarnation is good. */
  void OnCrashed(const state::ProcessId& aServer);

  /** Starts a short cooldown of a server that refused a start. */
  void OnRefused(const state::ProcessId& aServer);

  /**
   * Handles a start that was refused for want of capacity, after the report
   * that came with the refusal. If the server still appears to have the
   * capacity, it gets no run for a time that doubles with each such refusal
   * until a run is done.
   */
  void OnCapacityRefused(const state::ProcessId& aServer,
                         const state::ResourceAmount& aNeed);

  /**
   * Limits queues to a share of the servers, which other queues use only if no
   * other server has free capacity; replaces earlier limits. To be called again
   * when servers are added or removed.
   * @param aQueues names of queues, with their services
   */
  void Isolate(const std::map<std::string, std::string>& aQueues);
  /** Returns the number of servers of a limited queue; 0: not limited. */
  std::size_t IsolatedServers(const std::string& aQueue) const;

  /** Starts a short cooldown for suspects only. */
  void OnSuspectRefused(const state::ProcessId& aServer);

  /**
   * Returns the agents that do not offer their server any more, or have sent no
   * report for a long time, and have no runs of this entry.
   */
  std::vector<state::ProcessId> ReleasedAgents() const;
  std::vector<state::RunKey> RunsOn(const state::ProcessId& aServer) const;
  /** Returns the agents that have runs of this entry. */
  std::vector<state::ProcessId> AgentsInUse() const;
  std::size_t ReadyServers() const;
  std::vector<DispatchServerView> Views() const;
  std::size_t Count() const { return servers_.size(); }
  /** Returns the number of agents in one data centre. */
  std::size_t CountIn(const std::string& aDataCentre) const;
  state::MonotonicTime LastContactAt(const state::ProcessId& aAgent) const;
  /** Returns the id of an older process on the agent's address, if any. */
  std::optional<state::ProcessId> OlderOnAddress(
    const ProcessInfo& aAgent) const;
  bool Contains(const state::ProcessId& aAgent) const;

  RunTimeModel& Model() { return model_; }
  const RunTimeModel& Model() const { return model_; }

private:
  struct Server
  {
    ProcessInfo agent;
    std::optional<ServerDescription> description;
    ServerCondition condition = ServerCondition::eUnreachable;
    /** The agent does not offer the server any more. */
    bool isReleased = false;
    /** Maximum of each part of the capacity that the server has announced. */
    state::ResourceAmount largestCapacity;
    state::ResourceAmount usedByOthers;
    /** Capacity used by the runs of this entry. */
    state::ResourceAmount usedByEntry;
    std::map<state::RunKey, state::ResourceAmount> runs;
    /** Runs of tasks that are suspected to crash servers. */
    std::set<state::RunKey> suspects;
    state::MonotonicTime lastContactAt;
    state::MonotonicTime cooldownUntil;
    state::MonotonicTime suspectCooldownUntil;
    /** Time of the last overdue run that counted as a failure. */
    state::MonotonicTime overdueAt;
    unsigned failuresInRow = 0;
    /** Unexpected refusals for want of capacity since a run was done. */
    unsigned capacityRefusals = 0;
    /** Ejections since the last success; each doubles the cooldown. */
    unsigned ejections = 0;
  };

  bool IsEvacuated(const Server& aServer) const
  {
    return evacuated_.contains(aServer.agent.dataCentre);
  }
  /** Returns true if the server has the service and label of the task. */
  static bool IsMatching(const Server& aServer,
                         const PlacementRequest& aRequest);
  /** Returns true if the server may run the task, whatever its capacity. */
  bool IsSuitable(const Server& aServer,
                  const PlacementRequest& aRequest) const;
  bool IsUsable(const Server& aServer, const PlacementRequest& aRequest) const;
  /** Also false during a cooldown or after a contact timeout. */
  bool HasFreeCapacity(const Server& aServer,
                       const PlacementRequest& aRequest) const;
  double RunTime(const Server& aServer, const PlacementRequest& aRequest) const;
  double Cost(const Server& aServer,
              double aRunTimeMs,
              const PlacementRequest& aRequest) const;

  /** Returns false if the queue is limited to other servers. */
  bool IsPermitted(const Server& aServer,
                   const PlacementRequest& aRequest) const;
  /** Returns the addresses of the servers with this label, if not empty. */
  std::vector<std::string> AddressesOf(const std::string& aService,
                                       const std::string& aLabel) const;
  /** Cost of the runs that would be lost with a suspect on the server. */
  double SuspectCost(const Server& aServer,
                     const PlacementRequest& aRequest) const;
  /** Cost of a server to which another queue is limited. */
  double IsolationCost(const Server& aServer,
                       const PlacementRequest& aRequest) const;

  std::string dataCentre_;
  const state::Clock& clock_;
  RunTimeModel model_;
  std::map<state::ProcessId, Server> servers_;
  std::set<std::string> evacuated_;
  /**
   * Addresses of the agents whose servers a limited queue may use, by queue and
   * required label.
   */
  std::map<std::pair<std::string, std::string>, std::set<std::string>>
    isolated_;
};

}
