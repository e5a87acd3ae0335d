#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/dispatch/dispatch_job.h"
#include "state/dispatch/evacuation_state.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Runs on one backend server at the same time, also of tasks that need nothing
 * of its capacity. The start of a run takes a connection, and the servers of
 * the users' platform accept 64.
 */
inline constexpr std::size_t kMaxRunsPerServer = 128;

/** One run to start as part of a RunBatch. */
struct RunOrder
{
  std::uint32_t index = 0;
  std::uint32_t run = 0;
  /**
   * Number of crashes of servers that are attributed to the task. The agent
   * admits only one run of such a task at a time.
   */
  std::uint32_t crashes = 0;

  auto operator<=>(const RunOrder&) const = default;
};

/** Runs of one step for one agent; all runs share the payload. */
struct RunBatch
{
  state::DispatchJobId job;
  std::uint32_t step = 0;
  state::ResourceAmount need;
  /** The agent sends a forecast for a run expected to exceed this run time. */
  std::uint32_t limitMs = 0;
  std::string payload;
  std::vector<RunOrder> runs;
  /** Name of the queue of the job. */
  std::string queue;

  auto operator<=>(const RunBatch&) const = default;
};

/**
 * Orders from an entry to an agent. An empty message serves as a heartbeat: an
 * agent stops the runs of an entry that no longer confirms its reports.
 */
struct DispatchOrders
{
  std::vector<RunBatch> starts;
  std::vector<state::RunKey> stops;
  /**
   * Runs in flight in the view of the entry, sent after a connection was lost.
   * The agent reports those it does not have as eLost and never starts them.
   */
  std::vector<state::RunKey> checks;
  /**
   * Requested interval between free capacity reports from agents in the data
   * centre of the entry; 0: unchanged.
   */
  std::uint32_t reportPeriodMs = 0;
  /**
   * The newest ServerReport::sentAtMs that the entry has received from this
   * agent; 0: unknown, also from entries of the previous version.
   */
  std::uint64_t confirmedAtMs = 0;
  /** The evacuations that the entry knows, if they are to be passed on. */
  std::optional<state::EvacuationState> evacuation;

  auto operator<=>(const DispatchOrders&) const = default;
};

/** How a run ended. An ended run is never started again. */
enum class RunEndKind : std::uint8_t
{
  eDone,
  eFailed,
  eStopped,
  /** The backend server ended, or the lease of the run expired. */
  eLost,
  /** Not started: the server does not have enough free capacity. */
  eNoFreeCapacity,
  /** Not started: the server does not accept runs at present. */
  eRefused,
  /** Not started: the server already had this or a higher run of the task. */
  eOutdated,
  /** Not started: the start order was not answered and was withdrawn. */
  eUnanswered,
};

/** Returns the name for log lines. */
const char*
ToString(RunEndKind aKind);

struct RunEnd
{
  state::RunKey run;
  RunEndKind kind = RunEndKind::eDone;
  /** Time from the start order to the end; zero if the run did not start. */
  std::uint32_t runTimeMs = 0;

  auto operator<=>(const RunEnd&) const = default;
};

/**
 * Expected run time of a run that, judging from its progress, will exceed its
 * limit.
 */
struct RunForecast
{
  state::RunKey run;
  std::uint32_t runTimeMs = 0;

  auto operator<=>(const RunForecast&) const = default;
};

/**
 * A run whose start order was not answered by a server that cannot be reached:
 * a later incarnation of the server may still start it.
 */
struct UncertainStart
{
  state::RunKey run;
  /**
   * True once the leases have expired: only a later incarnation of the server
   * can show whether the run has started or will.
   */
  bool isFinal = false;

  auto operator<=>(const UncertainStart&) const = default;
};

enum class ServerCondition : std::uint8_t
{
  eReady,
  /** Running tasks finish, and no new run is accepted. */
  eDraining,
  /** The agent cannot reach the server. */
  eUnreachable,
  /** The server ignores some of its agent's calls, which delays starts. */
  eUnreliable,
};

/** Returns true if a server in this condition accepts new runs. */
constexpr bool
AcceptsRuns(ServerCondition aCondition)
{
  return aCondition == ServerCondition::eReady ||
         aCondition == ServerCondition::eUnreliable;
}

/** Properties that are constant for one incarnation of a backend server. */
struct ServerDescription
{
  std::string id;
  std::string service;
  std::vector<std::string> labels;
  state::ResourceAmount capacity;

  auto operator<=>(const ServerDescription&) const = default;
};

/** A task that had a run on a backend server when the server crashed. */
struct CrashSuspect
{
  state::TaskKey task;
  /** Name of the queue of the job. */
  std::string queue;

  auto operator<=>(const CrashSuspect&) const = default;
};

/**
 * A crash of a backend server, which its agent reports to all entries. It lists
 * the tasks of all entries, so that the crashes of a task are counted across
 * submissions of its job to different entries.
 */
struct ServerCrash
{
  /** Identifies the crash among those that this agent reports. */
  std::uint64_t number = 0;
  /** Time since the crash was detected, when the report was sent. */
  std::uint32_t ageMs = 0;
  std::vector<CrashSuspect> suspects;

  auto operator<=>(const ServerCrash&) const = default;
};

/** A task of which no run may be started, nor continue elsewhere. */
struct HeldTask
{
  state::TaskKey task;
  /** Time for which the task is held at most, when the message was sent. */
  std::uint32_t leftMs = 0;

  auto operator<=>(const HeldTask&) const = default;
};

/**
 * All tasks that one process holds, because a server may start a run of them
 * that cannot be prevented; see late_starts.h. Replaces the earlier ones of the
 * same process.
 */
struct TaskHolds
{
  /** Rises from 1 with each change. */
  std::uint64_t number = 0;
  std::vector<HeldTask> tasks;

  auto operator<=>(const TaskHolds&) const = default;
};

/** Report from an agent to an entry: server state and ended runs. */
struct ServerReport
{
  /** Sent in the first report, after each change and periodically. */
  std::optional<ServerDescription> description;
  ServerCondition condition = ServerCondition::eUnreachable;
  /** Capacity occupied by runs other than those of the receiver. */
  state::ResourceAmount usedByOthers;
  std::vector<RunEnd> ends;
  std::vector<RunForecast> forecasts;
  /**
   * Time of the report in ms on the monotonic clock of the agent, which only
   * the agent interprets; 0: unknown, from agents of the previous version.
   */
  std::uint64_t sentAtMs = 0;
  /** Runs of the receiver; agents of the previous version send none. */
  std::vector<UncertainStart> uncertainStarts;
  /** Crashes that were not reported to this entry before. */
  std::vector<ServerCrash> crashes;
  /**
   * True if the server is not offered to the receiver any more: the agent has
   * no runs of it and sends no further reports.
   */
  bool isReleased = false;
  /** The evacuations that the agent knows; sent with the description. */
  std::optional<state::EvacuationState> evacuation;
  /** Sent if changed since the last report to this entry. */
  std::optional<TaskHolds> holds;

  auto operator<=>(const ServerReport&) const = default;
};

/** A crash of the server of one agent, for entries that it does not report to.
 */
struct ReportedCrash
{
  state::ProcessId agent;
  ServerCrash crash;

  auto operator<=>(const ReportedCrash&) const = default;
};

/** The holds of a process that the receiver may not be connected to. */
struct ReportedHolds
{
  /** An agent, or an entry for the servers of agents that it has lost. */
  state::ProcessId reporter;
  TaskHolds holds;

  auto operator<=>(const ReportedHolds&) const = default;
};

/** A job that its caller has cancelled, at any entry. */
struct CancelledJob
{
  state::DispatchJobId job;
  /** Time since it was cancelled. */
  std::uint32_t ageMs = 0;

  auto operator<=>(const CancelledJob&) const = default;
};

/** Asks an entry for the cancelled jobs that it knows. */
struct CatchUpRequest
{
  /** Identifies the request in its answer; never 0. */
  std::uint64_t number = 0;
  /** CatchUpPage::last of the answer before; 0 in the first request. */
  std::uint64_t after = 0;
  /** Asks only for the jobs whose callers cancelled them at the receiver. */
  bool ownOnly = false;

  auto operator<=>(const CatchUpRequest&) const = default;
};

/** Describes EntryNews::cancelledJobs that answer a CatchUpRequest. */
struct CatchUpPage
{
  /** CatchUpRequest::number */
  std::uint64_t number = 0;
  std::uint64_t last = 0;
  bool hasMore = false;
  /** False if the sender itself may not know all cancelled jobs yet. */
  bool isComplete = false;

  auto operator<=>(const CatchUpPage&) const = default;
};

/**
 * What an entry passes on to other entries. Entries of the previous version
 * read the two lists only, and ignore the other fields.
 */
struct EntryNews
{
  std::vector<ReportedCrash> crashes;
  std::vector<CancelledJob> cancelledJobs;
  /**
   * Number that the receiver is to confirm when it has recorded the cancelled
   * jobs; 0: none.
   */
  std::uint64_t confirmNumber = 0;
  /** The highest confirmNumber that the sender confirms; 0: none. */
  std::uint64_t confirmedNumber = 0;
  std::optional<CatchUpRequest> catchUpRequest;
  std::optional<CatchUpPage> catchUpPage;
  std::optional<state::EvacuationState> evacuation;
  std::vector<ReportedHolds> holds;

  auto operator<=>(const EntryNews&) const = default;
};

/** A configuration document, unchanged as written by its operator. */
struct ConfigurationCopy
{
  std::uint64_t version = 0;
  std::string document;

  auto operator<=>(const ConfigurationCopy&) const = default;
};

}
