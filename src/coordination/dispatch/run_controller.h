#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/dispatch/answer_monitor.h"
#include "coordination/dispatch/crash_detector.h"
#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/entry_reporter.h"
#include "coordination/dispatch/late_starts.h"
#include "coordination/dispatch/lease_renewals.h"
#include "coordination/dispatch/lease_tracker.h"
#include "coordination/dispatch/pause_detector.h"
#include "coordination/dispatch/run_release.h"
#include "coordination/dispatch/server_messages.h"
#include "coordination/evacuation/cold_ramp.h"
#include "coordination/evacuation/evacuation_change.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** Timeouts of a RunController. */
struct RunControllerSettings
{
  /**
   * Length of the leases that the agent requests, unless maxContactAge ends
   * them earlier.
   */
  std::chrono::milliseconds lease{ 600 };
  /** Longest lease that a server grants, whatever was requested. */
  std::chrono::milliseconds maxLease{ 1000 };
  /**
   * Contact timeout of an entry, after which its runs are stopped. It counts
   * from the latest report of this agent that the entry has confirmed.
   */
  std::chrono::milliseconds entryTimeout{ 600 };
  /**
   * Latest end of the leases, counted from the latest report that the least
   * recent entry with runs here has confirmed. An agent that fails just before
   * it stops the runs of an unresponsive entry cannot prolong them. It exceeds
   * entryTimeout by more than a stop takes, after whose answer the run no
   * longer counts. It must be at least lease plus the maximum age of an order,
   * because renewals without runs are not limited, and 350 ms below the delay
   * after which callers submit a failed job again (1,300 ms on the users'
   * sites): an entry may confirm reports that long before it has handled its
   * callers.
   */
  std::chrono::milliseconds maxContactAge{ 900 };
  /** Data centre of the server; no run is started while it is evacuated. */
  std::string dataCentre;

  auto operator<=>(const RunControllerSettings&) const = default;
};

/** Record of a decision about one run, for the log. */
struct RunDecision
{
  const char* decision = "";
  state::RunKey run;
  state::ProcessId entry;
  /** Reason for the decision. */
  std::string reason;
  /**
   * Age of the start order that was accepted or refused, or time since the
   * evidence for the end of a run was established.
   */
  std::optional<std::chrono::milliseconds> age = std::nullopt;
};

struct RunControllerHooks
{
  std::function<void(const StartRunCall&)> start;
  std::function<void(const StopRunCall&)> stop;
  std::function<void(const RenewCall&)> renew;
  std::function<void(const state::ProcessId& aEntry, const ServerReport&)>
    report;
  std::function<void(const RunDecision&)> runDecision;
  /**
   * Called when the last known condition of the server changes, and when a
   * notice or an answer of another incarnation is ignored.
   */
  std::function<void(ServerCondition, const std::string& aReason)> condition;
  /** Called once for each crash of the server while it had runs. */
  std::function<void(const CrashRecord&)> serverCrashed;
  /** Called with the length of a pause of this process. */
  std::function<void(std::chrono::milliseconds)> paused;
  /** Called after the last report to an entry; may be empty. */
  std::function<void(const state::ProcessId& aEntry)> entryReleased;
  /** Called when the set of evacuated data centres changes; may be empty. */
  std::function<void(const EvacuationChange&)> evacuationChanged;
};

/**
 * Manages the runs on one backend server for the agent beside it, which is the
 * only authority over the server's capacity. Starts and stops runs, renews
 * their leases, reconciles the runs that the server lists with those that were
 * ordered, and stops the runs of entries that time out. Used by the control
 * thread only.
 */
class RunController
{
public:
  /** @param aFencingToken must be higher than those of earlier agents */
  RunController(const RunControllerSettings& aSettings,
                std::uint64_t aFencingToken,
                const state::Clock& aClock,
                RunControllerHooks aHooks);

  void SetSettings(const RunControllerSettings& aSettings);

  /** Returns false if the announcement is older than an earlier one. */
  bool OnAnnouncement(const ServerAnnouncement& aAnnouncement);
  /**
   * Accepts no new runs after the server announced the end of its incarnation.
   * Its runs stay until there is evidence of their end, because the server ends
   * them a little later. A notice of another incarnation is ignored.
   */
  void OnServerLeft(const std::string& aServerId, std::uint64_t aBorn);

  /** @param aSameDataCentre if true, capacity is reported more often */
  void OnEntry(const state::ProcessId& aEntry, bool aSameDataCentre);
  void OnEntryLost(const state::ProcessId& aEntry);
  /**
   * Stops offering the server to an entry. Its runs continue; the entry gets
   * reports until they have ended, and after an order that it sent before it
   * knew.
   */
  void OnEntryNotChosen(const state::ProcessId& aEntry);
  bool ReportsTo(const state::ProcessId& aEntry) const
  {
    return reporter_.Contains(aEntry);
  }
  /** Messages to the entry may have been lost with its connection. */
  void OnEntryDisconnected(const state::ProcessId& aEntry);
  void OnOrders(const state::ProcessId& aEntry, const DispatchOrders& aOrders);

  void OnStartAnswer(const state::RunKey& aRun, StartAnswer aAnswer);
  void OnStopAnswer(const state::RunKey& aRun, bool aAnswered);
  void OnRenewAnswer(std::uint64_t aNumber, const RenewAnswer& aAnswer);
  void OnRenewFailed(std::uint64_t aNumber, RenewFailure aFailure);

  /** Refuses new runs; existing runs continue to their end. */
  void StartDraining();

  /** Must be called every 25 ms. */
  void Tick();

  std::size_t RunCount() const { return runs_.size(); }
  /** Returns true if the server has listed ends not yet acknowledged. */
  bool HasUnacknowledgedEnds() const
  {
    return renewals_.HasUnacknowledgedEnds();
  }
  ServerCondition Condition() const;
  const std::optional<ServerDescription>& Server() const { return server_; }
  const state::EvacuationState& Evacuation() const { return evacuation_; }

private:
  enum class Phase
  {
    eStarting,
    eRunning,
    eStopping,
  };

  struct Run
  {
    state::ProcessId entry;
    state::ResourceAmount need;
    std::string queue;
    /** Number of known crashes of servers during a run of the task. */
    std::uint32_t crashes = 0;
    Phase phase = Phase::eStarting;
    std::chrono::milliseconds limit{ 0 };
    /** True if the entry was sent a forecast of this run. */
    bool isForecastSent = false;
    /** Time of the last list that contained the run. */
    state::MonotonicTime listedAt;
    /** Time at which the start call timed out without an answer. */
    std::optional<state::MonotonicTime> unansweredAt;
    state::MonotonicTime orderedAt;
    /** Last contact of the entry, if the reporter does not have it. */
    state::MonotonicTime entryContactAt;
    /** Time of the last stop order. */
    state::MonotonicTime stopSentAt;
    /** Number of stop orders that are neither answered nor failed. */
    unsigned openStops = 0;
    /** Incarnation that was known when the first of these was sent. */
    std::uint64_t stopIncarnation = 0;
    /** The certainty of its start that was reported last. */
    StartCertainty reportedCertainty = StartCertainty::eCertain;
    RunKnowledge knowledge;

    bool IsConfirmed() const { return knowledge.confirmedAt.has_value(); }
  };
  using Runs = std::map<state::RunKey, Run>;

  /** A listed run that an earlier agent or incarnation left. */
  struct UnknownRun
  {
    /** Number of the latest renewal whose answer listed the run. */
    std::uint64_t listedInCall = 0;
    /** Time of the last stop order, unless that was not answered. */
    std::optional<state::MonotonicTime> stopSentAt;
  };

  void HandleStart(const state::ProcessId& aEntry,
                   const OrderContact& aContact,
                   const RunBatch& aBatch,
                   const RunOrder& aOrder);
  /** Returns a run that this entry ordered, or the end of runs_. */
  Runs::iterator FindRunOf(const state::ProcessId& aEntry,
                           const state::RunKey& aRun);
  void HandleStop(const state::ProcessId& aEntry, const state::RunKey& aRun);
  void HandleCheck(const state::ProcessId& aEntry, const state::RunKey& aRun);
  /** Sends the start order of a run that was added. */
  void SendStart(const state::RunKey& aKey, const std::string& aPayload);
  void Stop(const state::RunKey& aKey, Run& aRun);
  /** Returns true if a stop order of the run must be sent again. */
  bool IsStopRetryDue(const Run& aRun) const;
  /**
   * Releases the run if there is evidence that it has ended; returns true if
   * so. The only function that calls Release().
   * @param aDetail logged with the evidence; the kind of the end if empty
   */
  bool ReleaseIfEnded(Runs::iterator aRun,
                      const ServerKnowledge& aServer,
                      RunEndKind aKind,
                      const std::string& aDetail = {});
  /** Removes a run and reports its end. The only function that does so. */
  void Release(Runs::iterator aRun,
               const ReleaseEvidence& aEvidence,
               RunEndKind aKind,
               const std::string& aDetail);
  /**
   * Releases the runs whose leases have expired at an unreachable server, and
   * reports those whose start is uncertain.
   */
  void ReleaseExpiredRuns();
  void ReportUncertainStart(const state::RunKey& aKey,
                            Run& aRun,
                            const LeaseBounds& aLeases);
  /** Returns how to report a run whose end the server did not list. */
  static RunEndKind KindOfUnlistedEnd(const Run& aRun);
  /** @param aAge of a refused start order */
  void Refuse(const state::ProcessId& aEntry,
              const state::RunKey& aRun,
              RunEndKind aKind,
              const char* aReason,
              std::optional<std::chrono::milliseconds> aAge = std::nullopt);
  /**
   * Stops runs of the same task that other entries ordered. Returns true if the
   * server has any run of the task.
   */
  bool SupersedeOtherRuns(const state::RunKey& aRun,
                          const state::ProcessId& aEntry);
  /** Returns true if a task that may crash its server has a run here. */
  bool HasSuspectRun() const;
  /** Records a crash of the present incarnation if this shows one. */
  void RecordCrash(CrashEvidence aEvidence);
  /**
   * Records a crash if the leases of all runs at a refusing server expired. The
   * runs may be released later: calls in flight may reach the next incarnation.
   */
  void RecordCrashAfterLeaseEnd(const LeaseBounds& aLeases);
  /** Returns the tasks whose runs may have crashed the incarnation. */
  std::vector<CrashSuspect> CrashSuspects() const;
  /** Returns true if the present incarnation may have started the run. */
  bool MayHaveRun(const Run& aRun) const;
  /** Reports which tasks the entries must hold, if that has changed. */
  void UpdateHolds();
  void SetReachable(bool aReachable, const std::string& aReason);
  void ReportConditionChange(ServerCondition aBefore,
                             const std::string& aReason);
  /** Records whether a call was answered; reports a changed reliability. */
  void RecordAnswer(bool aAnswered);
  /** Records that the server has a new incarnation. */
  void BeginIncarnation(std::uint64_t aBorn);
  /** Returns true if a newer answer or announcement overtook this answer. */
  bool IsOvertaken(const RenewAnswer& aAnswer,
                   const PendingRenewal& aSent) const;
  /** Records the runs that the server lists as running. */
  void ConfirmListedRuns(const RenewAnswer& aAnswer);
  /** Releases or stops runs according to the server's list. */
  void ReconcileRuns(const RenewAnswer& aAnswer, const PendingRenewal& aSent);
  /** Records whether the server may have received a renewal. */
  void SettleRenewal(std::uint64_t aNumber, bool aMayBeReceived);
  /** Records whether the server may have received a start order. */
  void SettleStart(const state::RunKey& aRun, bool aMayBeReceived);
  /** Sends a forecast if the progress shows that a run exceeds its limit. */
  void Forecast(const state::RunKey& aKey, Run& aRun, std::uint32_t aPercent);
  /** Returns true if the progress of a run is due for a check. */
  bool IsProgressCheckDue() const;
  /** Records that the server confirmed the start or listed the run. */
  void MarkConfirmed(Run& aRun);
  void OnStartUnanswered(Run& aRun);
  void EndFailedStart(Runs::iterator aRun,
                      StartCallState aState,
                      RunEndKind aKind,
                      const char* aReason);
  ServerReport StatusFor(const state::ProcessId& aEntry) const;
  /**
   * Returns true if all runs on the server are those in runs_. Otherwise its
   * free capacity is unknown: runs that an earlier agent or incarnation left
   * may use all of it, also while they are being stopped.
   */
  bool KnowsAllRuns() const { return isListed_ && unknownRuns_.empty(); }
  /** Returns the capacity in use; all of it while some runs are unknown. */
  state::ResourceAmount Used() const;
  /** Records which runs of an answer are unknown; stops them. */
  void UpdateUnknownRuns(const RenewAnswer& aAnswer,
                         const PendingRenewal& aSent);
  /**
   * Returns true if this agent did not order a listed run, or had released it
   * before it sent the call.
   */
  bool IsUnknown(const state::RunKey& aRun, const PendingRenewal& aSent) const;
  /** Reports the capacity after a change of KnowsAllRuns(). */
  void ReportCapacityChange(bool aKnewAllRuns);
  void SendStop(const state::RunKey& aRun);
  void StopUnknownRun(const state::RunKey& aKey, UnknownRun& aRun);
  void Renew(std::chrono::milliseconds aWait);
  void RenewLeases();
  void StopRunsOfTimedOutEntries();
  /**
   * Applies the state of an entry if it is newer. Existing runs continue; start
   * orders are refused while the data centre is evacuated.
   */
  void OnEvacuation(const state::ProcessId& aFrom,
                    const state::EvacuationState& aState);
  bool IsEvacuated() const;
  /** Records how long the server remains slow; may begin a ramp. */
  void OnColdServer(std::chrono::milliseconds aColdLeft,
                    bool aIsNewIncarnation);
  void BeginRamp();
  /** Reports the capacity that becomes usable in a ramp. */
  void UpdateRamp();
  /** Returns the capacity that runs may not use yet. */
  state::ResourceAmount Withheld() const;
  /** Ends the reports to entries that are not chosen and have no runs. */
  void ReleaseEntries();
  /**
   * Returns the length of the lease to request now: it ends at most
   * maxContactAge after the last contact of any entry that has runs here. Zero
   * if only unknown runs would use it.
   */
  std::chrono::milliseconds LeaseToRequest() const;
  /** Returns true if the present incarnation may have a run of runs_. */
  bool HasRunOfIncarnation() const;
  /** Returns the end of such a lease on the server's clock. */
  std::chrono::milliseconds LeaseEnd(std::chrono::milliseconds aLease) const;
  /** Raises the token after the server refused this one as too low. */
  void RaiseFencingToken(std::uint64_t aRefused);
  void SetServerClock(std::chrono::milliseconds aServerClock);
  void RecordDecision(
    const char* aDecision,
    const state::RunKey& aRun,
    const state::ProcessId& aEntry,
    std::string aReason,
    std::optional<std::chrono::milliseconds> aAge = std::nullopt) const;

  RunControllerSettings settings_;
  std::uint64_t fencingToken_;
  const state::Clock& clock_;
  RunControllerHooks hooks_;
  PauseDetector pauses_;
  EntryReporter reporter_;
  LeaseRenewals renewals_;
  LeaseTracker leases_;
  AnswerMonitor answerMonitor_;
  CrashDetector crashDetector_;

  std::optional<ServerDescription> server_;
  /** Start time of the server's incarnation, as the server states it. */
  std::uint64_t born_ = 0;
  /** Number of the incarnation in the order of discovery; 0: none yet. */
  std::uint64_t incarnation_ = 0;
  state::MonotonicTime incarnationKnownAt_;
  /** True once the incarnation has announced its end. */
  bool hasLeft_ = false;
  /**
   * True once the incarnation has announced itself. Its service, labels and
   * capacity may differ from those of the one before.
   */
  bool isAnnounced_ = false;
  /** Time at which the last call was sent that was refused as a connection. */
  std::optional<state::MonotonicTime> refusedAt_;
  std::uint64_t sequence_ = 0;
  bool serverDraining_ = false;
  bool draining_ = false;
  bool reachable_ = true;
  /** The newest state that an entry has sent. */
  state::EvacuationState evacuation_;
  std::optional<state::MonotonicTime> evacuationEndedAt_;
  /** Time until which the server is slow after its start. */
  state::MonotonicTime coldUntil_;
  std::optional<ColdRamp> ramp_;
  /** Server clock minus the clock of this process. */
  std::chrono::milliseconds clockOffset_{ 0 };

  /** Entries that are alive and to which the server is not offered. */
  std::set<state::ProcessId> notChosen_;
  Runs runs_;
  /** Numbers in leases_ of the start calls in progress. */
  std::map<state::RunKey, std::uint64_t> openStarts_;
  /** Numbers in leases_ of the renewals in progress. */
  std::map<std::uint64_t, std::uint64_t> openRenewals_;
  /** Capacity that runs_ use. */
  state::ResourceAmount used_;
  /**
   * True once the present incarnation has listed its runs after a call with the
   * present fencing token, with which it refuses all earlier start orders.
   */
  bool isListed_ = false;
  /** Runs on the server that this agent did not order. */
  std::map<state::RunKey, UnknownRun> unknownRuns_;
  /** Start orders without an answer, also those of released runs. */
  LateStarts lateStarts_;
  /** Released runs and the time of their release. */
  std::map<state::RunKey, state::MonotonicTime> released_;
  /**
   * Runs that must not be started any more, with the time of withdrawal. Two
   * entries may use the same run key, because run numbers start at 1 in each
   * submission.
   */
  std::map<std::pair<state::ProcessId, state::RunKey>, state::MonotonicTime>
    withdrawn_;
};

}
