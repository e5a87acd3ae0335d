#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"

namespace greengage::coordination {

/** What a backend server says of itself. */
struct ServerAnnouncement
{
  ServerDescription description;
  bool draining = false;
  /** Start of this life of the server; a change means that all runs ended. */
  std::uint64_t born = 0;
  /** Rises with each announcement of one life. */
  std::uint64_t sequence = 0;
  /** The server's own clock, for leases. */
  std::chrono::milliseconds serverClock{ 0 };

  auto operator<=>(const ServerAnnouncement&) const = default;
};

struct StartRunCall
{
  /** The life of the server that is meant; another one refuses the call. */
  std::string serverId;
  state::RunKey run;
  std::string payload;
  std::uint64_t fencingToken = 0;
  /** End of the lease, on the server's clock. */
  std::chrono::milliseconds leaseEnd{ 0 };

  auto operator<=>(const StartRunCall&) const = default;
};

enum class StartAnswer
{
  eStarted,
  eNoRoom,
  /** The fencing token is lower than one that the server has seen. */
  eFenced,
  /** This or a higher run of the task was there before. */
  eOutdated,
  /** The lease had ended when the order arrived. */
  eLate,
  /** Unhealthy, draining or another life of the server; nothing was done. */
  eRefused,
  /** The connection was refused; nothing was done. */
  eUnreachable,
  /** It is not known whether the run was started, or will be. */
  eNoAnswer,
};

struct StopRunCall
{
  std::string serverId;
  state::RunKey run;
  std::uint64_t fencingToken = 0;

  auto operator<=>(const StopRunCall&) const = default;
};

/** Extends the leases of all runs and asks for the ends since lastSeen. */
struct RenewCall
{
  std::uint64_t number = 0;
  std::uint64_t fencingToken = 0;
  /** Ends up to this number are acknowledged. */
  std::uint64_t lastSeen = 0;
  std::chrono::milliseconds leaseEnd{ 0 };
  /** The server may wait this long for an end before it answers. */
  std::chrono::milliseconds wait{ 0 };

  auto operator<=>(const RenewCall&) const = default;
};

struct ListedEnd
{
  std::uint64_t number = 0;
  state::RunKey run;
  RunEndKind kind = RunEndKind::eDone;

  auto operator<=>(const ListedEnd&) const = default;
};

/** A run as the server lists it. */
struct ListedRun
{
  state::RunKey run;
  /** Share of its work that is done, 0 to 100. */
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
  /** Nothing listens: the server has ended. */
  eUnreachable,
  eFenced,
  eNoAnswer,
};

}
