#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"

namespace greengage::coordination {

/** Announcement of a backend server to its agent. */
struct ServerAnnouncement
{
  ServerDescription description;
  bool draining = false;
  /**
   * Identifies the incarnation of the server by its start time. All runs of an
   * earlier incarnation have ended.
   */
  std::uint64_t born = 0;
  /** Increases with each announcement of one incarnation. */
  std::uint64_t sequence = 0;
  /** Clock of the server, on which leases are based. */
  std::chrono::milliseconds serverClock{ 0 };
  /** Time for which the server remains slow after its start. */
  std::chrono::milliseconds coldLeft{ 0 };

  auto operator<=>(const ServerAnnouncement&) const = default;
};

struct StartRunCall
{
  /** Incarnation that the call is for; other incarnations refuse it. */
  std::string serverId;
  state::RunKey run;
  std::string payload;
  std::uint64_t fencingToken = 0;
  /** End of the lease on the server's clock. */
  std::chrono::milliseconds leaseEnd{ 0 };

  auto operator<=>(const StartRunCall&) const = default;
};

enum class StartAnswer
{
  eStarted,
  eNoFreeCapacity,
  /** The fencing token is lower than one that the server received before. */
  eFenced,
  /** The server already had this or a higher run of the task. */
  eOutdated,
  /** The lease had ended when the order arrived. */
  eLate,
  /** Not started: unhealthy, draining, or another incarnation. */
  eRefused,
  /** Not started: the server's host refused the connection. */
  eConnectionRefused,
  /** Not started: the call never left this host, for another reason. */
  eNotSent,
  /** Unknown whether the run was started or will be. */
  eNoAnswer,
};

struct StopRunCall
{
  std::string serverId;
  state::RunKey run;
  std::uint64_t fencingToken = 0;

  auto operator<=>(const StopRunCall&) const = default;
};

/** Extends the leases of all runs and requests the ends after lastSeen. */
struct RenewCall
{
  std::uint64_t number = 0;
  std::uint64_t fencingToken = 0;
  /** Ends up to this number are acknowledged. */
  std::uint64_t lastSeen = 0;
  std::chrono::milliseconds leaseEnd{ 0 };
  /** Long-poll timeout: the server may delay its answer until a run ends. */
  std::chrono::milliseconds wait{ 0 };

  auto operator<=>(const RenewCall&) const = default;
};

/** An ended run in the server's list. */
struct ListedEnd
{
  std::uint64_t number = 0;
  state::RunKey run;
  RunEndKind kind = RunEndKind::eDone;

  auto operator<=>(const ListedEnd&) const = default;
};

/** A running task in the server's list. */
struct ListedRun
{
  state::RunKey run;
  /** Completed share of the work, 0 to 100. */
  std::uint32_t percent = 0;

  auto operator<=>(const ListedRun&) const = default;
};

struct RenewAnswer
{
  std::uint64_t born = 0;
  std::chrono::milliseconds serverClock{ 0 };
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;

  auto operator<=>(const RenewAnswer&) const = default;
};

enum class RenewFailure
{
  /** The server's host refused the connection; nothing was received. */
  eConnectionRefused,
  /** The call never left this host, for another reason. */
  eNotSent,
  eFenced,
  /** The server may have received the call, and may still do. */
  eNoAnswer,
};

}
