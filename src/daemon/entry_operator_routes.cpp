#include "daemon/entry_process.h"

#include "daemon/status_server.h"
#include "protocol/configuration_json.h"
#include "protocol/operator_json.h"

// The routes of EntryProcess that show the process to operators.
namespace greengage::daemon {

using transport::HttpResponder;
using transport::HttpResponse;

void
EntryProcess::AddOperatorHooks(EntryRouteHooks& aHooks)
{
  aHooks.refused = [this](state::RefusalCode aCode) {
    callerMetrics_.OnRefused(aCode);
  };
  aHooks.showMetrics = [this](HttpResponder aRespond) {
    control_.Post([this, respond = std::move(aRespond)] {
      UpdateGauges();
      respond(MetricsResponse(metrics_.ToPrometheusText()));
    });
  };
  aHooks.drainWorker = [this](std::string aProcessId, HttpResponder aRespond) {
    control_.Post(
      [this, id = std::move(aProcessId), respond = std::move(aRespond)] {
        DrainWorker(id, respond);
      });
  };
  aHooks.recoverShard = [this](std::uint32_t aShard, HttpResponder aRespond) {
    control_.Post([this, aShard, respond = std::move(aRespond)] {
      RecoverShard(aShard, respond);
    });
  };
  aHooks.showStatus = [this](HttpResponder aRespond) {
    control_.Post([this, respond = std::move(aRespond)] {
      respond({ 200, protocol::EncodeProcessStatus(Status()) });
    });
  };
  aHooks.showWorkers = [this](HttpResponder aRespond) {
    control_.Post([this, respond = std::move(aRespond)] {
      respond({ 200, protocol::EncodeWorkers(workers_.List()) });
    });
  };
}

void
EntryProcess::DrainWorker(const std::string& aProcessId,
                          const HttpResponder& aRespond)
{
  auto id = state::ProcessId::Parse(aProcessId);
  auto known = id ? processes_.find(*id) : processes_.end();
  if (known == processes_.end() ||
      known->second.role != coordination::ProcessRole::eAgent) {
    aRespond(RefusalResponse(404,
                             state::RefusalCode::eBadRequest,
                             "worker",
                             "no agent with this identity is known"));
    return;
  }
  network_.Send(*id, coordination::DrainAgent{ *id });
  aRespond({ 200, "{\"status\":\"complete\"}\n" });
}

void
EntryProcess::RecoverShard(std::uint32_t aShard, const HttpResponder& aRespond)
{
  if (aShard >= shards_.size()) {
    aRespond(RefusalResponse(
      404, state::RefusalCode::eBadRequest, "shard", "there is no such shard"));
    return;
  }
  configuration_.Follower().ProposeOwnership(
    shards_[aShard]->Lease().ForcedRecord(),
    [aRespond](const coordination::PublishOutcome& aOutcome) {
      HttpResponse response;
      response.status = protocol::HttpStatus(aOutcome);
      response.body = protocol::EncodePublishOutcome("", aOutcome);
      aRespond(std::move(response));
    });
}

protocol::ProcessStatus
EntryProcess::Status() const
{
  protocol::ProcessStatus status;
  status.process = self_;
  status.uptime = std::chrono::duration_cast<std::chrono::seconds>(
    clock_.MonotonicNow() - started_);
  status.stopping = stopping_;
  status.pendingRequests = router_.PendingCount();
  for (std::uint32_t shard = 0; shard < settings_.shardCount; ++shard) {
    protocol::ShardStatus shown;
    shown.shard = shard;
    if (const auto* owner = router_.Owner(shard)) {
      shown.known = true;
      shown.owner = owner->owner.id;
      shown.address = owner->owner.peerAddress;
      shown.token = owner->token;
    }
    status.shards.push_back(std::move(shown));
  }
  return status;
}

void
EntryProcess::UpdateGauges()
{
  auto set = [this](
               const char* aFamily, const char* aHelp, std::size_t aValue) {
    metrics_.FindGauge({ aFamily, "" }, aHelp).Set(static_cast<double>(aValue));
  };
  set("greengage_pending_requests",
      "Requests of callers without an answer",
      router_.PendingCount());
  set("greengage_peer_sessions",
      "Open connections to and from peers",
      network_.SessionCount());
  set("greengage_http_connections",
      "Open connections of callers and operators",
      http_.OpenConnections());
  std::size_t queued = 0;
  std::size_t running = 0;
  std::size_t jobs = 0;
  for (const auto& shard : shards_) {
    queued += shard->Scheduler().QueuedTasks();
    running += shard->Scheduler().RunningTasks();
    jobs += shard->Owner().JobCount();
  }
  set("greengage_queued_tasks",
      "Tasks that wait for a slot at this owner",
      queued);
  set("greengage_running_tasks",
      "Tasks that this owner has started and that have not ended",
      running);
  set("greengage_known_jobs", "Jobs in this owner's memory", jobs);
  set("greengage_workers",
      "Backend servers that this process knows",
      workers_.List().size());
}

}
