#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "state/clock.h"

// The only rule that decides when a run has ended for certain, so that its task
// may be given out again.
namespace greengage::coordination {

/** State of the call that ordered a server to start a run. */
enum class StartCallState : std::uint8_t
{
  /** In progress. */
  eOpen,
  /** The server answered that it started the run. */
  eStarted,
  /** The server answered that it did not start the run. */
  eRefused,
  /** The call never left this host. */
  eNotSent,
  /** No answer; the server may carry it out seconds later. */
  eUnanswered,
};

/** An answered order to stop a run. */
struct StopAnswer
{
  /** Newest incarnation known when the order was sent. */
  std::uint64_t incarnation = 0;
  state::MonotonicTime answeredAt;

  auto operator<=>(const StopAnswer&) const = default;
};

/**
 * What an agent knows about a run that it ordered. Incarnations of a server are
 * numbered from 1 in the order in which the agent discovers them.
 */
struct RunKnowledge
{
  /** Newest incarnation known when the start was sent. */
  std::uint64_t incarnation = 0;
  /** Fencing token of the start call. */
  std::uint64_t fencingToken = 0;
  StartCallState startCall = StartCallState::eOpen;
  /** First answer or list that showed that the run was started. */
  std::optional<state::MonotonicTime> confirmedAt;
  /** Incarnation whose list contained the run. */
  std::optional<std::uint64_t> listedBy;
  /** First answered stop order. */
  std::optional<StopAnswer> stop;

  /**
   * Returns the incarnation that listed the run, or the one that its start was
   * sent to if none did.
   */
  std::uint64_t LastIncarnation() const
  {
    return listedBy.value_or(incarnation);
  }

  auto operator<=>(const RunKnowledge&) const = default;
};

/** What the newest list of the server says about one run. */
struct ListedState
{
  /** Incarnation that sent the list. */
  std::uint64_t incarnation = 0;
  /** Fencing token of the call; the server refuses lower ones from then on. */
  std::uint64_t fencingToken = 0;
  /** Time at which the call was sent. */
  state::MonotonicTime requestedAt;
  bool isRunning = false;
  bool hasEnded = false;

  auto operator<=>(const ListedState&) const = default;
};

/** Latest times at which all leases that the agent granted have expired. */
struct LeaseBounds
{
  /** For a run in an incarnation whose clock is known. */
  state::MonotonicTime knownClock;
  /**
   * For a run that may have reached a later incarnation, on whose clock a lease
   * may end much later; the server limits it to its longest lease. It does not
   * cover a start that a later incarnation carries out after its timeout.
   */
  state::MonotonicTime anyClock;

  auto operator<=>(const LeaseBounds&) const = default;
};

/** What an agent knows about its server with regard to one run. */
struct ServerKnowledge
{
  std::optional<ListedState> list;
  std::optional<LeaseBounds> leases;
  /** Time at which the last call was sent that was refused as a connection. */
  std::optional<state::MonotonicTime> refusedAt;

  auto operator<=>(const ServerKnowledge&) const = default;
};

enum class ReleaseReason : std::uint8_t
{
  /** The server listed the end of the run. */
  eListedAsEnded,
  /** The server answered the start call that it started nothing. */
  eStartRefused,
  /** The start call never left this host. */
  eNothingSent,
  /** A list requested after the confirmed start does not contain the run. */
  eNotListedAfterStart,
  /** The same, after an answered stop order of an unconfirmed run. */
  eNotListedAfterStop,
  /** A later incarnation of the server does not list the run. */
  eLaterIncarnation,
  /** The lease of a confirmed run has expired on every possible clock. */
  eLeaseExpired,
  /** The server's host refused a connection after the start. */
  eConnectionRefused,
};

/** Returns the name for log lines. */
const char*
ToString(ReleaseReason aReason);

/** Evidence that a run has ended and will not start any more. */
struct ReleaseEvidence
{
  ReleaseReason reason = ReleaseReason::eListedAsEnded;
  /** Time since the list was requested or the lease expired; otherwise zero. */
  std::chrono::milliseconds age{ 0 };

  auto operator<=>(const ReleaseEvidence&) const = default;
};

/** Returns the evidence that the run has ended; empty if there is none. */
std::optional<ReleaseEvidence>
FindReleaseEvidence(const RunKnowledge& aRun,
                    const ServerKnowledge& aServer,
                    state::MonotonicTime aNow);

/** What is certain about the start of a run at an unreachable server. */
enum class StartCertainty : std::uint8_t
{
  /** Started, not started, or an answer is awaited. */
  eCertain,
  /** The order was not answered; the server may have carried it out. */
  eUncertain,
  /**
   * The same, and the leases have expired: if it was carried out, the run has
   * ended, but a later incarnation may still carry it out.
   */
  eFinallyUncertain,
};

StartCertainty
CertaintyOfStart(const RunKnowledge& aRun,
                 const LeaseBounds& aLeases,
                 state::MonotonicTime aNow);

}
