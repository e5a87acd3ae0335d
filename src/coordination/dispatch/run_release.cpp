#include "coordination/dispatch/run_release.h"

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/**
 * Whether a refused connection shows that the server's process, and with it
 * every run, has ended. Not established for the users' servers.
 */
constexpr bool kRefusalProvesEnd = false;

milliseconds
TimeSince(MonotonicTime aTime, MonotonicTime aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aTime);
}

/** Returns why a list without the run shows that it has ended, if it does. */
std::optional<ReleaseReason>
ReasonOfMissingRun(const RunKnowledge& aRun, const ListedState& aList)
{
  // A confirmed start was carried out before the confirmation, so every later
  // list of any incarnation reflects it.
  if (aRun.confirmedAt && *aRun.confirmedAt <= aList.requestedAt) {
    return ReleaseReason::eNotListedAfterStart;
  }
  if (aRun.listedBy && *aRun.listedBy < aList.incarnation) {
    return ReleaseReason::eLaterIncarnation;
  }
  // The later incarnation would carry out a late start order, but it now
  // refuses the token of that order.
  if (aRun.incarnation < aList.incarnation &&
      aRun.fencingToken < aList.fencingToken) {
    return ReleaseReason::eLaterIncarnation;
  }
  // The incarnation that existed before the stop order was sent still exists,
  // so it answered the order and refuses the start from then on.
  if (aRun.startCall != StartCallState::eOpen && aRun.stop &&
      aRun.stop->answeredAt <= aList.requestedAt &&
      aRun.stop->incarnation == aList.incarnation) {
    return ReleaseReason::eNotListedAfterStop;
  }
  return std::nullopt;
}

std::optional<ReleaseEvidence>
FindEvidenceInList(const RunKnowledge& aRun,
                   const ListedState& aList,
                   MonotonicTime aNow)
{
  if (aList.incarnation < aRun.incarnation || aList.isRunning) {
    return std::nullopt;
  }
  auto reason = aList.hasEnded ? ReleaseReason::eListedAsEnded
                               : ReasonOfMissingRun(aRun, aList);
  if (!reason) {
    return std::nullopt;
  }
  return ReleaseEvidence{ *reason, TimeSince(aList.requestedAt, aNow) };
}

std::optional<ReleaseEvidence>
FindEvidenceInLeases(const RunKnowledge& aRun,
                     const LeaseBounds& aLeases,
                     MonotonicTime aNow)
{
  // A lease limits only a run that has started. A start order without an answer
  // may be carried out at any later time, by the next incarnation too, until an
  // incarnation has received a higher fencing token.
  if (!aRun.confirmedAt) {
    return std::nullopt;
  }
  auto end = aRun.listedBy ? aLeases.knownClock : aLeases.anyClock;
  if (aRun.startCall == StartCallState::eOpen || aNow <= end) {
    return std::nullopt;
  }
  return ReleaseEvidence{ ReleaseReason::eLeaseExpired, TimeSince(end, aNow) };
}

/** Considers a confirmed run only: an unanswered start may arrive later. */
bool
IsEndedByRefusal(const RunKnowledge& aRun, const ServerKnowledge& aServer)
{
  return kRefusalProvesEnd && aRun.confirmedAt && aServer.refusedAt &&
         *aRun.confirmedAt <= *aServer.refusedAt;
}

}

const char*
ToString(ReleaseReason aReason)
{
  switch (aReason) {
    case ReleaseReason::eListedAsEnded:
      return "listed_as_ended";
    case ReleaseReason::eStartRefused:
      return "start_refused";
    case ReleaseReason::eNothingSent:
      return "nothing_sent";
    case ReleaseReason::eNotListedAfterStart:
      return "not_listed_after_start";
    case ReleaseReason::eNotListedAfterStop:
      return "not_listed_after_stop";
    case ReleaseReason::eLaterIncarnation:
      return "later_incarnation";
    case ReleaseReason::eLeaseExpired:
      return "lease_expired";
    case ReleaseReason::eConnectionRefused:
      return "connection_refused";
  }
  return "unknown";
}

std::optional<ReleaseEvidence>
FindReleaseEvidence(const RunKnowledge& aRun,
                    const ServerKnowledge& aServer,
                    MonotonicTime aNow)
{
  if (!aRun.confirmedAt && aRun.startCall == StartCallState::eRefused) {
    return ReleaseEvidence{ ReleaseReason::eStartRefused };
  }
  if (!aRun.confirmedAt && aRun.startCall == StartCallState::eNotSent) {
    return ReleaseEvidence{ ReleaseReason::eNothingSent };
  }
  if (aServer.list) {
    if (auto evidence = FindEvidenceInList(aRun, *aServer.list, aNow)) {
      return evidence;
    }
  }
  if (IsEndedByRefusal(aRun, aServer)) {
    return ReleaseEvidence{ ReleaseReason::eConnectionRefused,
                            TimeSince(*aServer.refusedAt, aNow) };
  }
  return aServer.leases ? FindEvidenceInLeases(aRun, *aServer.leases, aNow)
                        : std::nullopt;
}

StartCertainty
CertaintyOfStart(const RunKnowledge& aRun,
                 const LeaseBounds& aLeases,
                 MonotonicTime aNow)
{
  if (aRun.confirmedAt || aRun.startCall != StartCallState::eUnanswered) {
    return StartCertainty::eCertain;
  }
  return aNow <= aLeases.anyClock ? StartCertainty::eUncertain
                                  : StartCertainty::eFinallyUncertain;
}

}
