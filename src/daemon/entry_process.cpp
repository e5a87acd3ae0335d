#include "daemon/entry_process.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "daemon/peer_listener.h"
#include "daemon/process_identity.h"
#include "protocol/caller_json.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;
using state::RefusalCode;
using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 50 };
constexpr std::chrono::milliseconds kLeaveDelay{ 500 };
/**
 * Time after the stop request in which new requests are still served. Their
 * connections may have been accepted before the listening socket was closed.
 */
constexpr std::chrono::milliseconds kMinServingTime{ 200 };
constexpr std::chrono::milliseconds kReportPeriod{ 1000 };
constexpr std::chrono::milliseconds kConnectPeriod{ 500 };

ConfigurationFollowerSettings
MakeFollowerSettings(const EntrySettings& aSettings)
{
  ConfigurationFollowerSettings settings;
  settings.pollPeriod = aSettings.logPollPeriod;
  settings.retention = aSettings.logRetention;
  settings.retentionRecords = aSettings.logRetentionRecords;
  return settings;
}

}

EntryProcess::EntryProcess(const EntrySettings& aSettings)
  : settings_(aSettings)
  , traffic_(aSettings.common.trafficThreads)
  , network_(traffic_,
             control_,
             { [this](const ProcessInfo& aFrom, const PeerMessage& aMessage) {
                OnPeerMessage(aFrom, aMessage);
              },
               [this](const state::ProcessId& aPeer, bool aReachable) {
                 OnPeerLost(aPeer, aReachable);
               },
               [this](const auto& aMessages, std::size_t aBytes) {
                 sentTraffic_.Count(aMessages, aBytes);
               },
               [this](const auto& aMessages, std::size_t aBytes) {
                 receivedTraffic_.Count(aMessages, aBytes);
               } })
  , http_(traffic_,
          [this](HttpRequest aRequest, HttpResponder aRespond) {
            OnHttpRequest(std::move(aRequest), aRespond);
          })
  , routes_(MakeRouteHooks())
  , router_(aSettings.shardCount,
            clock_,
            { [this](const state::ProcessId& aOwner, PeerMessage aMessage) {
               network_.Send(aOwner, std::move(aMessage));
             },
              [this](std::uint64_t aSubmission,
                     const state::JobKey& aKey,
                     const state::JobOutcome& aOutcome) {
                callerMetrics_.OnAnswer(aSubmission, aOutcome);
                auto responder = responders_.extract(aSubmission);
                if (responder.empty()) {
                  return;
                }
                boost::asio::post(
                  traffic_.Context(),
                  [respond = std::move(responder.mapped()), aKey, aOutcome] {
                    HttpResponse response;
                    response.status = protocol::HttpStatus(aOutcome);
                    response.body = protocol::EncodeJobAnswer(aKey, aOutcome);
                    respond(std::move(response));
                  });
              } })
  , configuration_(
      traffic_,
      control_,
      clock_,
      aSettings.logAddress,
      MakeFollowerSettings(aSettings),
      { [this](const state::ProcessId& aPeer, PeerMessage aMessage) {
         network_.Send(aPeer, std::move(aMessage));
       },
        [this](const state::ConfigurationChange& aChange) {
          OnConfigurationChanged(aChange);
        },
        [this](const OwnershipRecord& aRecord) {
          if (aRecord.shard < shards_.size()) {
            shards_[aRecord.shard]->Lease().OnRecord(aRecord, clock_.WallNow());
          }
        },
        [this](const OwnershipActivated& aRecord) {
          if (aRecord.shard < shards_.size()) {
            shards_[aRecord.shard]->Lease().OnActivatedRecord(aRecord);
          }
        },
        [this] { return ProcessVersions(); } })
  , membership_(
      traffic_,
      control_,
      clock_,
      { [this](const ProcessInfo& aProcess) { OnProcessSeen(aProcess); },
        [this](const state::ProcessId& aProcess) { OnProcessLost(aProcess); },
        [this](const state::ProcessId& aDead) { OnProcessReplaced(aDead); },
        [this](const state::ProcessId& aProcess, std::uint64_t aVersion) {
          configuration_.Follower().OnPeerVersion(aProcess, aVersion);
        } })
{
}

EntryProcess::~EntryProcess()
{
  control_.Stop();
  traffic_.Stop();
}

tl::expected<void, DaemonError>
EntryProcess::Start()
{
  auto self = OpenPeerListener(network_, settings_.common, ProcessRole::eEntry);
  if (!self) {
    return tl::unexpected(self.error());
  }
  self_ = *self;
  auto http = http_.Start(*transport::ParseEndpoint(settings_.httpAddress));
  if (!http) {
    return tl::unexpected(DaemonError{ http.error().message });
  }
  httpEndpoint_ = *http;
  network_.Start(self_);
  for (std::uint32_t shard = 0; shard < settings_.shardCount; ++shard) {
    shards_.push_back(std::make_unique<ShardController>(
      shard, self_, clock_, MakeShardHooks()));
  }
  auto joined = membership_.Start(self_, settings_.common.seeds);
  if (!joined) {
    return joined;
  }
  control_.Every(kTickPeriod, [this] { OnTick(); });
  control_.Every(kConnectPeriod, [this] { ConnectSeeds(); });
  control_.Every(kReportPeriod, [this] {
    UpdateWorkers();
    LogOwnerChanges();
  });
  configuration_.Start();
  control_.Start();
  traffic_.Start();
  transport::LogEvent(transport::events::kProcessStarted,
                      "http={} peer={} data_centre={} rack={}",
                      transport::ToString(*http),
                      self_.peerAddress,
                      self_.dataCentre,
                      self_.rack);
  return {};
}

void
EntryProcess::Stop(std::function<void()> aDone)
{
  control_.Post([this, done = std::move(aDone)] {
    transport::LogEvent(transport::events::kProcessStopping,
                        "pending_requests={}",
                        router_.PendingCount());
    stopping_ = true;
    stopRequestedAt_ = clock_.MonotonicNow();
    onStopped_ = done;
    http_.StopAccepting();
    ReleaseShards();
  });
}

EntryRouteHooks
EntryProcess::MakeRouteHooks()
{
  EntryRouteHooks hooks;
  hooks.createJobId = [this] { return CreateJobId(clock_.WallNow()); };
  hooks.submit = [this](state::JobSpec aSpec, HttpResponder aRespond) {
    control_.Post([this, spec = std::move(aSpec), respond = aRespond] {
      std::uint64_t submission = router_.Submit(spec);
      callerMetrics_.OnJobRequest(submission, spec.TemplateName());
      AwaitAnswer(submission, respond);
    });
  };
  hooks.queryJob = [this](state::JobKey aKey, HttpResponder aRespond) {
    control_.Post([this, key = std::move(aKey), respond = aRespond] {
      callerMetrics_.OnControlRequest();
      AwaitAnswer(router_.Query(key), respond);
    });
  };
  hooks.cancelJob = [this](state::JobKey aKey, HttpResponder aRespond) {
    control_.Post([this, key = std::move(aKey), respond = aRespond] {
      callerMetrics_.OnControlRequest();
      AwaitAnswer(router_.Cancel(key), respond);
    });
  };
  hooks.publish = [this](const state::ConfigurationKey& aKey,
                         const std::string& aBody,
                         const HttpResponder& aRespond) {
    configuration_.HandlePut(aKey, aBody, aRespond);
  };
  hooks.unpublish = [this](const state::ConfigurationKey& aKey,
                           const std::string& aBody,
                           const HttpResponder& aRespond) {
    configuration_.HandleDelete(aKey, aBody, aRespond);
  };
  hooks.showConfiguration = [this](const HttpResponder& aRespond) {
    configuration_.HandleShow(aRespond);
  };
  AddOperatorHooks(hooks);
  return hooks;
}

void
EntryProcess::OnHttpRequest(HttpRequest aRequest, const HttpResponder& aRespond)
{
  if (isRefusing_) {
    callerMetrics_.OnRefused(RefusalCode::eShuttingDown);
    aRespond(RefusalResponse(
      503, RefusalCode::eShuttingDown, "", "this entry is shutting down"));
    return;
  }
  routes_.Handle(std::move(aRequest), aRespond);
}

void
EntryProcess::AwaitAnswer(std::uint64_t aSubmission, HttpResponder aRespond)
{
  // The router answers only in later events, never during Submit(), Query() or
  // Cancel(), so the responder is stored in time.
  responders_.emplace(aSubmission, std::move(aRespond));
}

void
EntryProcess::OnConfigurationChanged(const state::ConfigurationChange& aChange)
{
  const std::string& name = aChange.key.name;
  for (const auto& shard : shards_) {
    TaskScheduler& scheduler = shard->Scheduler();
    if (const auto* work =
          std::get_if<state::WorkTemplate>(&aChange.document)) {
      scheduler.SetTemplate(*work);
    } else if (const auto* limits = std::get_if<state::OrganisationParameters>(
                 &aChange.document)) {
      scheduler.SetOrganisation(*limits);
    } else if (aChange.key.kind == state::ConfigurationKind::eTemplate) {
      scheduler.RemoveTemplate(name);
    } else {
      scheduler.RemoveOrganisation(name);
    }
  }
}

void
EntryProcess::OnPeerMessage(const ProcessInfo& aFrom,
                            const PeerMessage& aMessage)
{
  workers_.OnPeerMessage(aMessage);
  if (configuration_.OnPeerMessage(aFrom.id, aMessage)) {
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    OnProcessSeen(hello->process);
  } else if (const auto* status = std::get_if<AgentStatus>(&aMessage)) {
    OnProcessSeen(status->process);
  } else if (const auto* answer = std::get_if<JobAnswer>(&aMessage)) {
    auto late = router_.Counters().lateAnswers;
    router_.OnAnswer(aFrom.id, *answer);
    if (router_.Counters().lateAnswers > late) {
      callerMetrics_.OnLateAnswer();
    }
  } else if (const auto* owner = std::get_if<OwnerAnnouncement>(&aMessage)) {
    network_.SetPeer(owner->owner);
    router_.OnOwner(*owner);
  } else if (ShardController* shard = FindShard(aMessage)) {
    if (const auto* results = std::get_if<TaskResults>(&aMessage)) {
      ownerMetrics_.OnTaskResults(*results);
    }
    shard->OnPeerMessage(aFrom, aMessage);
    shard->Dispatch();
  }
}

void
EntryProcess::OnTick()
{
  for (const auto& shard : shards_) {
    shard->Lease().SetLogUp(configuration_.Follower().LogAvailable());
    shard->Tick();
  }
  router_.Tick();
  membership_.Tick(configuration_.Follower().Version());
  if (!stopping_) {
    return;
  }
  ReleaseShards();
  if (IsServingAfterStop()) {
    return;
  }
  isRefusing_ = true;
  // A request stays in progress until its response is written, so no response
  // is truncated.
  if (http_.RequestsInProgress() == 0) {
    FinishStop();
  }
}

bool
EntryProcess::IsServingAfterStop() const
{
  return router_.PendingCount() > 0 ||
         clock_.MonotonicNow() - stopRequestedAt_ < kMinServingTime;
}

void
EntryProcess::ReleaseShards()
{
  bool hasOtherEntry =
    std::any_of(processes_.begin(), processes_.end(), [](const auto& aEntry) {
      return aEntry.second.role == ProcessRole::eEntry;
    });
  // The last entry keeps its shards until its own callers are answered.
  if (shardsReleased_ || (!hasOtherEntry && IsServingAfterStop())) {
    return;
  }
  shardsReleased_ = true;
  for (const auto& shard : shards_) {
    shard->Lease().Release();
  }
}

void
EntryProcess::FinishStop()
{
  if (auto onStopped = std::exchange(onStopped_, nullptr)) {
    membership_.Members()->Leave();
    // The delay lets the leave message be sent.
    control_.After(kLeaveDelay, [this, onStopped] {
      network_.Stop();
      membership_.Stop();
      transport::LogEvent(transport::events::kProcessStopped, "reason=request");
      onStopped();
    });
  }
}

}
