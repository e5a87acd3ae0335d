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

}

EntryProcess::EntryProcess(const EntrySettings& aSettings)
  : settings_(aSettings)
  , traffic_(aSettings.common.trafficThreads)
  , network_(traffic_,
             control_,
             { [this](const ProcessInfo& aFrom, const PeerMessage& aMessage) {
                OnPeerMessage(aFrom, aMessage);
              },
               [this](const state::ProcessId& aPeer) {
                 workers_.OnProcessLost(aPeer);
                 router_.OnProcessLost(aPeer);
                 owner_.OnAgentGone(aPeer);
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
  httpEndpoint_ = *http;
  network_.Start(self_);
  owner_.Activate(kFirstToken);
  router_.OnOwner({ kOnlyShard, kFirstToken, self_ });
  control_.Every(kTickPeriod, [this] { OnTick(); });
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
  hooks.publish = [this](DocumentKind aKind,
                         const std::string& aName,
                         const std::string&,
                         const HttpResponder& aRespond) {
    Publish(aKind, aName, aRespond);
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
EntryProcess::Publish(DocumentKind aKind,
                      const std::string& aName,
                      const HttpResponder& aRespond)
{
  auto refuse = [&](const state::StateError& aError) {
    aRespond(RefusalResponse(
      400, RefusalCode::eBadRequest, aError.field, aError.message));
  };
  if (aKind == DocumentKind::eTemplate) {
    auto value = state::WorkTemplate::Builder().SetName(aName).Build();
    if (!value) {
      refuse(value.error());
      return;
    }
    control_.Post([this, value = *value] { scheduler_.SetTemplate(value); });
  } else {
    auto value =
      state::OrganisationParameters::Builder().SetName(aName).Build();
    if (!value) {
      refuse(value.error());
      return;
    }
    control_.Post(
      [this, value = *value] { scheduler_.SetOrganisation(value); });
  }
  aRespond({ 200, "{}\n" });
}

void
EntryProcess::OnPeerMessage(const ProcessInfo& aFrom,
                            const PeerMessage& aMessage)
{
  workers_.OnPeerMessage(aMessage);
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    network_.SetPeer(hello->process);
    if (hello->process.role == ProcessRole::eAgent) {
      scheduler_.SetServer(hello->process);
    }
  } else if (const auto* status = std::get_if<AgentStatus>(&aMessage)) {
    network_.SetPeer(status->process);
    scheduler_.SetServer(status->process);
  } else if (const auto* submit = std::get_if<SubmitJob>(&aMessage)) {
    owner_.OnSubmit(aFrom.id, *submit);
  } else if (const auto* query = std::get_if<QueryJob>(&aMessage)) {
    owner_.OnQuery(aFrom.id, *query);
  } else if (const auto* cancel = std::get_if<CancelJob>(&aMessage)) {
    owner_.OnCancel(aFrom.id, *cancel);
  } else if (const auto* results = std::get_if<TaskResults>(&aMessage)) {
    ownerMetrics_.OnTaskResults(*results);
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
  // A response counts as written before its request ends, so nothing is cut.
  if (stopping_ && router_.PendingCount() == 0 &&
      http_.RequestsInProgress() == 0) {
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
