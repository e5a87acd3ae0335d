#include "daemon/dispatch/dispatch_agent_process.h"

#include <algorithm>

#include <fmt/format.h>

#include "daemon/dispatch/dispatch_status.h"
#include "daemon/dispatch/log_evacuation.h"
#include "daemon/dispatch/log_pause.h"
#include "daemon/start_listening.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;
using state::ProcessId;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;
using transport::LogEvent;
namespace events = transport::events;

namespace {

/** Encoding and sockets need much less than a core on a host. */
constexpr unsigned kTrafficThreads = 1;
constexpr milliseconds kTickPeriod{ 25 };
constexpr unsigned kTicksPerMembershipTick = 2;
/** Maximum time to stop after a stop signal; the platform kills after 6 s. */
constexpr milliseconds kStopTimeout{ 5000 };
/** Lets the last reports be sent before the connections close. */
constexpr milliseconds kLastReportDelay{ 100 };
/**
 * Announcements have a few hundred bytes. The limit bounds the memory that
 * parsing one takes.
 */
constexpr std::size_t kMaxAnnouncementBytes = 256 * 1024;
/** Maximum number of suspects of a crash that a log line names. */
constexpr std::size_t kMaxLoggedSuspects = 4;

/** Returns the settings of the runs, with the data centre of the agent. */
RunControllerSettings
RunSettings(const DispatchAgentSettings& aSettings,
            const std::string& aDataCentre)
{
  RunControllerSettings runs = aSettings.runs;
  runs.dataCentre = aDataCentre;
  return runs;
}

/** Returns the first suspects as job.step.task, separated by commas. */
std::string
FirstTasks(const std::vector<CrashSuspect>& aSuspects)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aSuspects.size(), kMaxLoggedSuspects);
       ++i) {
    const state::TaskKey& task = aSuspects[i].task;
    text += fmt::format("{}{}.{}.{}",
                        i == 0 ? "" : ",",
                        task.job.ToString(),
                        task.step,
                        task.index);
  }
  return text;
}

transport::HttpServerLimits
AnnouncementLimits(const transport::ConnectionLimits& aLimits)
{
  transport::HttpServerLimits limits;
  limits.maxBodyBytes = kMaxAnnouncementBytes;
  limits.maxConnections = aLimits.callerConnections;
  return limits;
}

/**
 * Returns the milliseconds since 1970. The server stores the highest token that
 * it has received, and this value is higher than the token of an earlier agent.
 * If the clock was set back, the server refuses the token and RunController
 * raises it.
 */
std::uint64_t
FirstFencingToken(const state::Clock& aClock)
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                      aClock.WallNow().time_since_epoch())
                                      .count());
}

}

DispatchAgentProcess::DispatchAgentProcess(
  const DispatchAgentSettings& aSettings)
  : settings_(aSettings)
  , traffic_(kTrafficThreads, aSettings.connections)
  , peers_(traffic_, control_, clock_, MakePeerHooks())
  , runController_(RunSettings(aSettings, aSettings.peer.dataCentre),
                   FirstFencingToken(clock_),
                   clock_,
                   MakeRunControllerHooks())
  , announcementServer_(
      traffic_,
      [this](const HttpRequest& aRequest, HttpResponder aRespond) {
        auto notice = serverHooks_.decodeNotice(aRequest);
        if (!notice) {
          LogEvent(events::kAnnouncementRefused,
                   "target={} status={} reason={}",
                   transport::QuoteValue(aRequest.target),
                   notice.error().status,
                   transport::QuoteValue(notice.error().body));
          aRespond(std::move(notice.error()));
          return;
        }
        control_.Post(
          [this, value = *std::move(notice), respond = std::move(aRespond)] {
            OnNotice(value, respond);
          });
      },
      AnnouncementLimits(aSettings.connections))
  , statusServer_(
      traffic_,
      MakeStatusHooks(control_,
                      metrics_,
                      [this] { return DescribeRunController(runController_); }))
  , documents_(peers_,
               clock_,
               [this](const ProcessId&,
                      std::uint64_t aVersion,
                      const std::string& aDocument) {
                 documents_.Exchange().SetDocument(aVersion, aDocument);
               })
  , choice_(clock_, MakeChoiceHooks())
{
  traffic_.Guard().SetLimitedHook([this](transport::ConnectionLimit aLimit) {
    dispatchMetrics_.OnConnectionLimited(aLimit);
  });
}

DispatchAgentProcess::~DispatchAgentProcess()
{
  control_.Stop();
  traffic_.Stop();
}

RunControllerHooks
DispatchAgentProcess::MakeRunControllerHooks()
{
  RunControllerHooks hooks;
  hooks.start = [this](const StartRunCall& aCall) {
    serverHooks_.start(aCall, [this, run = aCall.run](StartAnswer aAnswer) {
      runController_.OnStartAnswer(run, aAnswer);
    });
  };
  hooks.stop = [this](const StopRunCall& aCall) {
    serverHooks_.stop(aCall, [this, run = aCall.run](bool aAnswered) {
      runController_.OnStopAnswer(run, aAnswered);
    });
  };
  hooks.renew = [this](const RenewCall& aCall) {
    serverHooks_.renew(
      aCall,
      [this, number = aCall.number](
        const tl::expected<RenewAnswer, RenewFailure>& aAnswer) {
        if (aAnswer) {
          runController_.OnRenewAnswer(number, *aAnswer);
        } else {
          runController_.OnRenewFailed(number, aAnswer.error());
        }
      });
  };
  hooks.report = [this](const ProcessId& aEntry, const ServerReport& aReport) {
    peers_.Send(aEntry, aReport);
  };
  hooks.runDecision = [this](const RunDecision& aDecision) {
    dispatchMetrics_.OnRunDecision(aDecision);
    LogEvent(events::kRunDecision,
             "decision={} job={} step={} task={} run={} entry={} "
             "reason={} runs={}{}",
             aDecision.decision,
             aDecision.run.task.job.ToString(),
             aDecision.run.task.step,
             aDecision.run.task.index,
             aDecision.run.run,
             aDecision.entry.ToString(),
             transport::QuoteValue(aDecision.reason),
             runController_.RunCount(),
             aDecision.age ? fmt::format(" age_ms={}", aDecision.age->count())
                           : std::string());
  };
  hooks.condition = [this](ServerCondition aCondition,
                           const std::string& aReason) {
    LogEvent(events::kServerCondition,
             "condition={} server={} reason={} runs={}",
             ToString(aCondition),
             runController_.Server() ? runController_.Server()->id : "none",
             transport::QuoteValue(aReason),
             runController_.RunCount());
  };
  hooks.serverCrashed = [this](const CrashRecord& aRecord) {
    dispatchMetrics_.OnServerCrashed();
    LogEvent(events::kServerCrashed,
             "server={} born={} evidence={} age_ms={} number={} suspects={} "
             "tasks={}",
             aRecord.server,
             aRecord.born,
             ToString(aRecord.evidence),
             aRecord.age.count(),
             aRecord.number,
             aRecord.suspects.size(),
             FirstTasks(aRecord.suspects));
  };
  hooks.evacuationChanged = [this](const EvacuationChange& aChange) {
    dispatchMetrics_.OnEvacuationChanged(aChange);
    LogEvacuation(aChange);
  };
  hooks.paused = LogPause;
  hooks.entryReleased = [this](const ProcessId& aEntry) {
    OnEntryReleased(aEntry);
  };
  return hooks;
}

EntryChoiceHooks
DispatchAgentProcess::MakeChoiceHooks()
{
  EntryChoiceHooks hooks;
  hooks.chosen = [this](const ProcessInfo& aEntry) {
    runController_.OnEntry(aEntry.id,
                           aEntry.dataCentre == settings_.peer.dataCentre);
  };
  hooks.notChosen = [this](const ProcessId& aEntry) {
    runController_.OnEntryNotChosen(aEntry);
  };
  hooks.changed = [](const EntryChoiceRecord& aRecord) {
    LogEvent(events::kEntriesChosen,
             "chosen={} added={} removed={} entries={} agents={}",
             aRecord.chosen,
             aRecord.added,
             aRecord.removed,
             aRecord.entries,
             aRecord.agents);
  };
  return hooks;
}

void
DispatchAgentProcess::OnEntryReleased(const ProcessId& aEntry)
{
  control_.After(kLastReportDelay, [this, aEntry] {
    if (!choice_.IsChosen(aEntry) && !runController_.ReportsTo(aEntry)) {
      peers_.Disconnect(aEntry);
    }
  });
}

PeerNodeHooks
DispatchAgentProcess::MakePeerHooks()
{
  PeerNodeHooks hooks;
  hooks.alive = [this](const ProcessInfo& aPeer) { OnPeerAlive(aPeer); };
  hooks.versionReceived = [this](const ProcessId& aPeer,
                                 std::uint64_t aVersion) {
    documents_.Exchange().OnPeerVersion(aPeer, aVersion);
  };
  hooks.lost = [this](const ProcessId& aPeer) {
    documents_.Exchange().OnPeerLost(aPeer);
    choice_.OnLost(aPeer);
    runController_.OnEntryLost(aPeer);
  };
  hooks.disconnected = [this](const ProcessId& aPeer) {
    runController_.OnEntryDisconnected(aPeer);
  };
  hooks.received = [this](const ProcessInfo& aFrom,
                          const PeerMessage& aMessage) {
    OnPeerMessage(aFrom, aMessage);
  };
  return hooks;
}

tl::expected<void, DaemonError>
DispatchAgentProcess::Start()
{
  auto joined = peers_.Start(settings_.peer);
  if (!joined) {
    return joined;
  }
  auto listening =
    StartListening(announcementServer_, settings_.announceAddress)
      .and_then([&] {
        return StartListening(statusServer_, settings_.metricsAddress);
      });
  if (!listening) {
    return listening;
  }
  documents_.Exchange().SetSelf(peers_.Self());
  choice_.SetSelf(peers_.Self());
  control_.Every(kTickPeriod, [this] { OnTick(); });
  control_.Every(transport::kMemoryCheckPeriod, [this] {
    memoryTrimmer_.Check();
    dispatchMetrics_.OnClientMemory(traffic_.Guard().Bytes().HeldBytes());
  });
  control_.Start();
  traffic_.Start();
  traffic_.Guard().LogLimits();
  LogEvent(events::kProcessStarted,
           "peer={} announcements={} metrics={} data_centre={}",
           peers_.Self().peerAddress,
           settings_.announceAddress,
           settings_.metricsAddress,
           settings_.peer.dataCentre);
  return {};
}

void
DispatchAgentProcess::Reload(const DispatchAgentSettings& aSettings)
{
  peers_.SetSeeds(aSettings.peer.seeds);
  runController_.SetSettings(RunSettings(aSettings, settings_.peer.dataCentre));
  auto running = settings_;
  running.peer.seeds = aSettings.peer.seeds;
  running.runs = aSettings.runs;
  settings_ = running;
  if (running != aSettings) {
    LogEvent(events::kSettingsWaitForStart,
             "peer={} data_centre={}",
             aSettings.peer.address,
             aSettings.peer.dataCentre);
  }
}

void
DispatchAgentProcess::Stop(std::function<void()> aDone)
{
  control_.Post([this, done = std::move(aDone)] {
    LogEvent(events::kProcessStopping, "runs={}", runController_.RunCount());
    onStopped_ = done;
    stopRequestedAt_ = clock_.MonotonicNow();
    runController_.StartDraining();
  });
}

void
DispatchAgentProcess::OnNotice(const ServerNotice& aNotice,
                               const HttpResponder& aRespond)
{
  if (const auto* announcement = std::get_if<ServerAnnouncement>(&aNotice)) {
    runController_.OnAnnouncement(*announcement);
  } else {
    const auto& leave = std::get<ServerLeave>(aNotice);
    runController_.OnServerLeft(leave.serverId, leave.born);
  }
  HttpResponse response;
  response.body = "{}";
  aRespond(std::move(response));
}

void
DispatchAgentProcess::OnPeerAlive(const ProcessInfo& aPeer)
{
  documents_.Exchange().OnPeer(aPeer);
  choice_.OnAlive(aPeer);
}

void
DispatchAgentProcess::OnPeerMessage(const ProcessInfo& aFrom,
                                    const PeerMessage& aMessage)
{
  if (const auto* orders = std::get_if<DispatchOrders>(&aMessage)) {
    runController_.OnOrders(aFrom.id, *orders);
  } else if (const auto* copy = std::get_if<ConfigurationCopy>(&aMessage)) {
    // Entries of the previous version send whole documents.
    if (copy->version > documents_.Exchange().Version()) {
      documents_.Exchange().SetDocument(copy->version, copy->document);
    }
  } else {
    documents_.OnMessage(aFrom.id, aMessage);
  }
}

void
DispatchAgentProcess::OnTick()
{
  runController_.Tick();
  documents_.Exchange().Tick();
  choice_.Tick();
  if (++ticks_ % kTicksPerMembershipTick == 0) {
    peers_.Tick(documents_.Exchange().AdvertisedVersion());
  }
  if (onStopped_) {
    FinishStop();
  }
}

void
DispatchAgentProcess::FinishStop()
{
  auto elapsed = clock_.MonotonicNow() - stopRequestedAt_;
  bool idle =
    runController_.RunCount() == 0 && !runController_.HasUnacknowledgedEnds();
  if (!idle && elapsed < kStopTimeout) {
    return;
  }
  auto onStopped = std::exchange(onStopped_, nullptr);
  peers_.Leave();
  peers_.Tick(documents_.Exchange().AdvertisedVersion());
  control_.After(kLastReportDelay, [this, onStopped] {
    peers_.Stop();
    LogEvent(events::kProcessStopped, "reason=request");
    onStopped();
  });
}

}
