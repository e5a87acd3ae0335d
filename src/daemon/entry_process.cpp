#include "daemon/entry_process.h"

#include <boost/asio/post.hpp>

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
constexpr std::uint32_t kOnlyShard = 0;
constexpr state::OwnershipToken kFirstToken{ 1, 0 };
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
               [this](const state::ProcessId& aPeer) { OnPeerLost(aPeer); },
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
  , scheduler_(clock_)
  , owner_(kOnlyShard,
           scheduler_,
           clock_,
           { [this](const state::ProcessId& aAgent, StartTasks aStart) {
              network_.Send(aAgent, std::move(aStart));
            },
             [this](const state::ProcessId& aAgent, CancelTasks aCancel) {
               network_.Send(aAgent, std::move(aCancel));
             },
             [this](const state::ProcessId& aAgent, Fence aFence) {
               network_.Send(aAgent, std::move(aFence));
             },
             [this](const state::ProcessId& aAgent, HistoryQuery aQuery) {
               network_.Send(aAgent, std::move(aQuery));
             },
             [this](const state::ProcessId& aRequester, JobAnswer aAnswer) {
               network_.Send(aRequester, std::move(aAnswer));
             } })
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
        nullptr,
        nullptr,
        [this] {
          return std::vector<protocol::ProcessVersion>{
            { self_, configuration_.Follower().Version() }
          };
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
  auto peer =
    network_.Listen(*transport::ParseEndpoint(settings_.common.peerAddress));
  if (!peer) {
    return tl::unexpected(DaemonError{ peer.error().message });
  }
  self_.id = CreateProcessId();
  self_.role = ProcessRole::eEntry;
  self_.peerAddress = transport::ToString(*peer);
  self_.dataCentre = settings_.common.dataCentre;
  self_.rack = settings_.common.rack;
  transport::SetLogProcess("greengage-entry", self_.id.ToString());
  auto http = http_.Start(*transport::ParseEndpoint(settings_.httpAddress));
  if (!http) {
    return tl::unexpected(DaemonError{ http.error().message });
  }
  network_.Start(self_);
  owner_.Activate(kFirstToken, clock_.WallNow(), {}, true);
  router_.OnOwner({ kOnlyShard, kFirstToken, self_ });
  control_.Every(kTickPeriod, [this] { OnTick(); });
  control_.Every(kConnectPeriod, [this] { ConnectSeeds(); });
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
    stopped_ = done;
    http_.StopAccepting();
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
  if (stopping_) {
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
  // The router answers only by later events, never inside its own calls.
  responders_.emplace(aSubmission, std::move(aRespond));
}

void
EntryProcess::OnConfigurationChanged(const state::ConfigurationChange& aChange)
{
  const std::string& name = aChange.key.name;
  if (const auto* work = std::get_if<state::WorkTemplate>(&aChange.document)) {
    scheduler_.SetTemplate(*work);
  } else if (const auto* limits =
               std::get_if<state::OrganisationParameters>(&aChange.document)) {
    scheduler_.SetOrganisation(*limits);
  } else if (aChange.key.kind == state::ConfigurationKind::eTemplate) {
    scheduler_.RemoveTemplate(name);
  } else {
    scheduler_.RemoveOrganisation(name);
  }
}

void
EntryProcess::OnPeerLost(const state::ProcessId& aPeer)
{
  workers_.OnProcessLost(aPeer);
  router_.OnProcessLost(aPeer);
  owner_.OnAgentGone(aPeer);
  if (entries_.erase(aPeer) > 0) {
    configuration_.Follower().SetPeers({ entries_.begin(), entries_.end() });
  }
}

void
EntryProcess::ConnectSeeds()
{
  for (const std::string& seed : settings_.common.seeds) {
    network_.ConnectSeed(seed);
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
    network_.SetPeer(hello->process);
    if (hello->process.role == ProcessRole::eAgent) {
      owner_.AddAgent(hello->process);
    } else if (entries_.insert(hello->process.id).second) {
      configuration_.Follower().SetPeers({ entries_.begin(), entries_.end() });
    }
  } else if (const auto* status = std::get_if<AgentStatus>(&aMessage)) {
    network_.SetPeer(status->process);
    owner_.AddAgent(status->process);
  } else if (const auto* submit = std::get_if<SubmitJob>(&aMessage)) {
    owner_.OnSubmit(aFrom.id, *submit);
  } else if (const auto* query = std::get_if<QueryJob>(&aMessage)) {
    owner_.OnQuery(aFrom.id, *query);
  } else if (const auto* cancel = std::get_if<CancelJob>(&aMessage)) {
    owner_.OnCancel(aFrom.id, *cancel);
  } else if (const auto* results = std::get_if<TaskResults>(&aMessage)) {
    owner_.OnTaskResults(*results);
  } else if (const auto* answer = std::get_if<JobAnswer>(&aMessage)) {
    if (!responders_.contains(answer->submission)) {
      callerMetrics_.OnLateAnswer();
    }
    router_.OnAnswer(aFrom.id, *answer);
  } else if (const auto* owner = std::get_if<OwnerAnnouncement>(&aMessage)) {
    router_.OnOwner(*owner);
  }
  owner_.Dispatch();
}

void
EntryProcess::OnTick()
{
  owner_.Tick();
  router_.Tick();
  owner_.Dispatch();
  if (stopping_ && router_.PendingCount() == 0) {
    FinishStop();
  }
}

void
EntryProcess::FinishStop()
{
  if (auto stopped = std::exchange(stopped_, nullptr)) {
    network_.Stop();
    transport::LogEvent(transport::events::kProcessStopped, "reason=request");
    stopped();
  }
}

}
