#include "daemon/entry_process.h"

#include "daemon/status_server.h"
#include "protocol/operator_json.h"

// The routes of EntryProcess that show the process to operators.
namespace greengage::daemon {

using transport::HttpResponder;

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
  set("greengage_queued_tasks",
      "Tasks that wait for a slot at this owner",
      scheduler_.QueuedTasks());
  set("greengage_running_tasks",
      "Tasks that this owner has started and that have not ended",
      scheduler_.RunningTasks());
  set("greengage_known_jobs", "Jobs in this owner's memory", owner_.JobCount());
  set("greengage_workers",
      "Backend servers that this process knows",
      workers_.List().size());
}

}
