#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/pause_detector.h"
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
  bool HasUnacknowledgedEnds() const { return lastSeen_ != acknowledged_; }
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
    bool stopWanted = false;
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

  struct Entry
  {
    bool sameDataCentre = false;
    state::MonotonicTime heardAt;
    state::MonotonicTime reportedAt;
    bool changed = true;
    /** Empty if the present description has not been sent. */
    std::optional<state::MonotonicTime> describedAt;
    std::vector<RunEnd> ends;
    std::vector<RunForecast> forecasts;
  };

  struct PendingRenewal
  {
    state::MonotonicTime sentAt;
    std::uint64_t lastSeen = 0;
    bool waits = false;
  };

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
  void CheckListed(const RenewAnswer& aAnswer, state::MonotonicTime aSentAt);
  void Forecast(const state::RunKey& aKey, Run& aRun, std::uint32_t aPercent);
  /** True if the progress of a run should be looked at now. */
  bool NeedsProgress() const;
  void SendStop(const state::RunKey& aRun);
  void StopUnknown(const state::RunKey& aRun);
  void Renew(std::chrono::milliseconds aWait);
  /** True while a renewal waits at the server for an end. */
  bool IsRenewalWaiting() const;
  void KeepLeases();
  void StopSilentEntries();
  void MarkChanged();
  void Flush(bool aOnlyEnds);
  bool NeedsDescription(const Entry& aEntry) const;
  void SendReport(const state::ProcessId& aId, Entry& aEntry);
  std::chrono::milliseconds LeaseEnd() const;
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
  std::map<state::ProcessId, Entry> entries_;
  /** Runs that must not be started any more, with the time they are kept. */
  std::map<state::RunKey, state::MonotonicTime> withdrawn_;
  /** Unknown runs that were ordered to stop, with the time of the order. */
  std::map<state::RunKey, state::MonotonicTime> unknownStops_;

  std::map<std::uint64_t, PendingRenewal> renewals_;
  std::uint64_t nextRenewal_ = 1;
  std::uint64_t lastSeen_ = 0;
  std::uint64_t acknowledged_ = 0;
  unsigned failedRenewals_ = 0;
  state::MonotonicTime leaseExtendedAt_;
  state::MonotonicTime nextRenewAt_;
};

}
