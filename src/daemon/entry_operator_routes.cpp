#include "daemon/entry_process.h"

#include "daemon/status_server.h"
#include "protocol/configuration_json.h"
#include "protocol/operator_json.h"
#include "transport/event_log.h"

// HTTP routes of EntryProcess for operators.
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
    aRespond(RefusalResponse(404,
                             state::RefusalCode::eBadRequest,
                             "shard",
                             "the shard does not exist"));
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
    clock_.MonotonicNow() - startedAt_);
  status.stopping = stopping_;
  status.pendingRequests = router_.PendingCount();
  for (std::uint32_t shard = 0; shard < settings_.shardCount; ++shard) {
    protocol::ShardStatus shardStatus;
    shardStatus.shard = shard;
    if (const auto* owner = router_.Owner(shard)) {
      shardStatus.ownerKnown = true;
      shardStatus.owner = owner->owner.id;
      shardStatus.address = owner->owner.peerAddress;
      shardStatus.token = owner->token;
    }
    status.shards.push_back(std::move(shardStatus));
  }
  return status;
}

void
EntryProcess::UpdateOwnerTotals()
{
  coordination::OwnerCounters owner;
  coordination::HealthCounters health;
  for (const auto& shard : shards_) {
    const auto& counters = shard->Owner().Counters();
    owner.starts += counters.starts;
    owner.duplicateStarts += counters.duplicateStarts;
    owner.lateResults += counters.lateResults;
    owner.lateHistoryReplies += counters.lateHistoryReplies;
    owner.retriesAfterFailure += counters.retriesAfterFailure;
    owner.retriesAfterAgentLoss += counters.retriesAfterAgentLoss;
    owner.retriesOverBudget += counters.retriesOverBudget;
    owner.hedges += counters.hedges;
    owner.moves += counters.moves;
    owner.recoveries += counters.recoveries;
    owner.droppedJobs += counters.droppedJobs;
    auto scheduler = shard->Scheduler().Counters();
    health.ejections += scheduler.health.ejections;
    health.ejectionsOverCap += scheduler.health.ejectionsOverCap;
    health.reinstatements += scheduler.health.reinstatements;
  }
  ownerMetrics_.SetTotals(owner, health);
}

void
EntryProcess::UpdateWorkers()
{
  for (const auto& shard : shards_) {
    if (!shard->Owner().Active()) {
      continue;
    }
    for (const auto& view : shard->Scheduler().ServerViews()) {
      workers_.OnServerView(view);
    }
  }
}

void
EntryProcess::LogOwnerChanges()
{
  auto now = clock_.MonotonicNow();
  for (std::uint32_t shard = 0; shard < settings_.shardCount; ++shard) {
    LoggedOwner& logged = loggedOwners_[shard];
    const auto* owner = router_.Owner(shard);
    if (!owner) {
      if (!logged.missingSince) {
        logged.missingSince = now;
      }
      auto missing = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *logged.missingSince);
      if (missing >= coordination::kOwnerWaitTimeout &&
          !logged.isAbsenceLogged) {
        logged.isAbsenceLogged = true;
        transport::LogEvent(transport::events::kShardWithoutOwner,
                            "shard={} since_ms={}",
                            shard,
                            missing.count());
      }
      continue;
    }
    logged.missingSince.reset();
    logged.isAbsenceLogged = false;
    if (logged.token == owner->token) {
      continue;
    }
    logged.token = owner->token;
    transport::LogEvent(transport::events::kOwnerChanged,
                        "shard={} owner={} epoch={} term={}",
                        shard,
                        owner->owner.id.ToString(),
                        owner->token.epoch,
                        owner->token.term);
  }
}

void
EntryProcess::UpdateGauges()
{
  auto set = [this](
               const char* aFamily, const char* aHelp, std::size_t aValue) {
    metrics_.FindGauge({ aFamily, "" }, aHelp).Set(static_cast<double>(aValue));
  };
  set("greengage_pending_requests",
      "Requests of callers that are not answered yet",
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
  UpdateOwnerTotals();
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
  set("greengage_known_jobs", "Jobs that this owner keeps in memory", jobs);
  set("greengage_workers",
      "Backend servers known to this process",
      workers_.List().size());
}

}
