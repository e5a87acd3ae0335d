#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/dispatch/dispatch_job.h"

namespace greengage::coordination {

/** One task of a RunBatch. */
struct RunOrder
{
  std::uint32_t index = 0;
  std::uint32_t run = 0;

  auto operator<=>(const RunOrder&) const = default;
};

/** Tasks of one step for one agent; they share the payload. */
struct RunBatch
{
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  state::ResourceAmount need;
  /** The agent sends a forecast if a run is going to last longer than this. */
  std::uint32_t limitMs = 0;
  std::string payload;
  std::vector<RunOrder> runs;

  auto operator<=>(const RunBatch&) const = default;
};

/**
 * Entry to agent. An empty message keeps the entry's runs alive: an agent
 * stops the runs of an entry it no longer hears from.
 */
struct DispatchOrders
{
  std::vector<RunBatch> starts;
  std::vector<state::RunKey> stops;
  /**
   * Runs that the entry believes in, sent after a connection was lost. The
   * agent reports those it does not know as eLost and never starts them.
   */
  std::vector<state::RunKey> checks;
  /**
   * How often the entry wants agents of its data centre to report their room;
   * 0: as often as before.
   */
  std::uint32_t reportPeriodMs = 0;

  auto operator<=>(const DispatchOrders&) const = default;
};

/** How a run ended. After any of these it does not run and never will. */
enum class RunEndKind : std::uint8_t
{
  eDone,
  eFailed,
  eStopped,
  /** The backend server or its lease ended. */
  eLost,
  /** Not started: the server has no room for it. */
  eNoRoom,
  /** Not started: the server takes no work now. */
  eRefused,
  /** Not started: the server has seen this or a higher run of the task. */
  eOutdated,
  /** Not started: the order got no answer and was withdrawn. */
  eUnanswered,
};

/** Name for log lines. */
const char*
ToString(RunEndKind aKind);

struct RunEnd
{
  state::RunKey run;
  RunEndKind kind = RunEndKind::eDone;
  /** From the accepted start to the end; zero if it did not start. */
  std::uint32_t runTimeMs = 0;

  auto operator<=>(const RunEnd&) const = default;
};

/** A run that will last longer than its limit, by its progress so far. */
struct RunForecast
{
  state::RunKey run;
  std::uint32_t runTimeMs = 0;

  auto operator<=>(const RunForecast&) const = default;
};

enum class ServerCondition : std::uint8_t
{
  eReady,
  /** It finishes what runs and takes no new work. */
  eDraining,
  /** The agent cannot reach it. */
  eUnreachable,
  /** It ignores a part of its agent's calls; starts there take longer. */
  eUnreliable,
};

/** True if it takes new runs. */
constexpr bool
TakesRuns(ServerCondition aCondition)
{
  return aCondition == ServerCondition::eReady ||
         aCondition == ServerCondition::eUnreliable;
}

/** What stays the same during one life of a backend server. */
struct ServerDescription
{
  std::string id;
  std::string service;
  std::vector<std::string> labels;
  state::ResourceAmount capacity;

  auto operator<=>(const ServerDescription&) const = default;
};

/** Agent to entry: the state of its backend server, and ends of runs. */
struct ServerReport
{
  /** Sent first and after each change. */
  std::optional<ServerDescription> description;
  ServerCondition condition = ServerCondition::eUnreachable;
  /** Capacity occupied by runs other than those of the receiver. */
  state::ResourceAmount usedByOthers;
  std::vector<RunEnd> ends;
  std::vector<RunForecast> forecasts;

  auto operator<=>(const ServerReport&) const = default;
};

/** A configuration document as its operator wrote it. */
struct ConfigurationCopy
{
  std::uint64_t version = 0;
  std::string document;

  auto operator<=>(const ConfigurationCopy&) const = default;
};

}
