#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/dispatch/answer_monitor.h"
#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/entry_reports.h"
#include "coordination/dispatch/lease_renewals.h"
#include "coordination/dispatch/pause_detector.h"
#include "coordination/dispatch/server_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** Bounds of a RunKeeper. */
struct RunKeeperSettings
{
  /**
   * Lease that the agent asks for. An agent that dies just before it would stop
   * the runs of a silent entry leaves them for this long.
   */
  std::chrono::milliseconds lease{ 700 };
  /**
   * Runs of an entry that was not heard for this long are stopped. Together
   * with the lease it stays below the delay after which callers submit a broken
   * job again (1,300 ms on the users' sites).
   */
  std::chrono::milliseconds entrySilence{ 500 };

  auto operator<=>(const RunKeeperSettings&) const = default;
};

/** A decision about one run, for the log. */
struct RunNote
{
  const char* decision = "";
  state::RunKey run;
  state::ProcessId entry;
  /** What decided it. */
  std::string reason;
};

struct RunKeeperHooks
{
  std::function<void(const StartRunCall&)> start;
  std::function<void(const StopRunCall&)> stop;
  std::function<void(const RenewCall&)> renew;
  std::function<void(const state::ProcessId& aEntry, const ServerReport&)>
    report;
  std::function<void(const RunNote&)> note;
  /** The condition of the server as it is believed changed. */
  std::function<void(ServerCondition, const std::string& aReason)> condition;
  /** This process did not run for this long. */
  std::function<void(std::chrono::milliseconds)> paused;
};

/**
 * The only authority over one backend server's room, used by the agent beside
 * it. It starts and stops runs, keeps their leases, matches the server's lists
 * with what was ordered, and stops the runs of entries that are not heard.
 * Used by the control thread only.
 */
class RunKeeper
{
public:
  /** @param aFencingToken higher than that of earlier agents of this server */
  RunKeeper(const RunKeeperSettings& aSettings,
            std::uint64_t aFencingToken,
            const state::Clock& aClock,
            RunKeeperHooks aHooks);

  void SetSettings(const RunKeeperSettings& aSettings)
  {
    settings_ = aSettings;
  }

  /** False if it is older than an announcement before. */
  bool OnAnnouncement(const ServerAnnouncement& aAnnouncement);
  /** The server says that it ends now. */
  void OnServerLeft(const std::string& aServerId);

  /** @param aSameDataCentre it gets reports of used room more often */
  void OnEntry(const state::ProcessId& aEntry, bool aSameDataCentre);
  void OnEntryGone(const state::ProcessId& aEntry);
  void OnOrders(const state::ProcessId& aEntry, const DispatchOrders& aOrders);

  void OnStartAnswer(const state::RunKey& aRun, StartAnswer aAnswer);
  void OnStopAnswer(const state::RunKey& aRun, bool aAnswered);
  void OnRenewAnswer(std::uint64_t aNumber, const RenewAnswer& aAnswer);
  void OnRenewFailed(std::uint64_t aNumber, RenewFailure aFailure);

  /** Takes no new run; those that run end undisturbed. */
  void StartDraining();

  /** Call every 25 ms. */
  void Tick();

  std::size_t RunCount() const { return runs_.size(); }
  /** Ends that the server has listed and that are not acknowledged yet. */
  bool HasUnacknowledgedEnds() const
  {
    return renewals_.HasUnacknowledgedEnds();
  }
  ServerCondition Condition() const;
  const std::optional<ServerDescription>& Server() const { return server_; }

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
    Phase phase = Phase::eStarting;
    std::chrono::milliseconds limit{ 0 };
    /** The entry has been sent a forecast of this run. */
    bool forecast = false;
    /** Time of the last list that held the run. */
    state::MonotonicTime listedAt;
    /** The server has answered the start or listed the run. */
    bool seen = false;
    /** When the start was given up as unanswered. */
    std::optional<state::MonotonicTime> unansweredAt;
    state::MonotonicTime orderedAt;
    state::MonotonicTime startedAt;
    /** Time of the last stop order. */
    state::MonotonicTime stopSentAt;
    /** Set once the server has answered a stop order. */
    std::optional<state::MonotonicTime> stopAnsweredAt;
  };
  using Runs = std::map<state::RunKey, Run>;

  void TakeStart(const state::ProcessId& aEntry,
                 const RunBatch& aBatch,
                 const RunOrder& aOrder);
  void TakeStop(const state::ProcessId& aEntry, const state::RunKey& aRun);
  void TakeCheck(const state::ProcessId& aEntry, const state::RunKey& aRun);
  void Stop(const state::RunKey& aKey, Run& aRun);
  void End(Runs::iterator aRun, RunEndKind aKind);
  void EndAll(RunEndKind aKind, const std::string& aReason);
  void Refuse(const state::ProcessId& aEntry,
              const state::RunKey& aRun,
              RunEndKind aKind,
              const char* aReason);
  bool HasOtherRun(const state::RunKey& aRun, const state::ProcessId& aEntry);
  void SetReachable(bool aReachable, const std::string& aReason);
  /** A call was answered, or was not; entries hear of what follows from it. */
  void CountAnswer(bool aAnswered);
  void CheckListed(const RenewAnswer& aAnswer, state::MonotonicTime aSentAt);
  void Forecast(const state::RunKey& aKey, Run& aRun, std::uint32_t aPercent);
  /** True if the progress of a run should be looked at now. */
  bool NeedsProgress() const;
  /** The server has answered the start, or lists the run. */
  void MarkSeen(Run& aRun);
  void EndRefused(Runs::iterator aRun, RunEndKind aKind, const char* aReason);
  ServerReport StatusFor(const state::ProcessId& aEntry) const;
  void SendStop(const state::RunKey& aRun);
  void StopUnknown(const state::RunKey& aRun);
  void Renew(std::chrono::milliseconds aWait);
  void KeepLeases();
  void StopSilentEntries();
  std::chrono::milliseconds LeaseEnd() const;
  /** The server has seen a higher token. */
  void RaiseFencingToken();
  void SetServerClock(std::chrono::milliseconds aServerClock);
  void Note(const char* aDecision,
            const state::RunKey& aRun,
            const state::ProcessId& aEntry,
            std::string aReason) const;

  RunKeeperSettings settings_;
  std::uint64_t fencingToken_;
  const state::Clock& clock_;
  RunKeeperHooks hooks_;
  PauseDetector pauses_;
  EntryReports reports_;
  LeaseRenewals renewals_;
  AnswerMonitor answers_;

  std::optional<ServerDescription> server_;
  std::uint64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  bool serverDraining_ = false;
  bool draining_ = false;
  bool reachable_ = true;
  /** Server's clock minus ours. */
  std::chrono::milliseconds clockOffset_{ 0 };

  Runs runs_;
  state::ResourceAmount used_;
  /** Runs that must not be started any more, with the time they are kept. */
  std::map<state::RunKey, state::MonotonicTime> withdrawn_;
  /** Unknown runs that were ordered to stop, with the time of the order. */
  std::map<state::RunKey, state::MonotonicTime> unknownStops_;
};

}
