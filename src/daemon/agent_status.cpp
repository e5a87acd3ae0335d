#include "daemon/agent_process.h"

#include "transport/endpoint.h"

// HTTP interface of AgentProcess for operators.
namespace greengage::daemon {

using transport::HttpResponder;

tl::expected<void, DaemonError>
AgentProcess::StartStatusServer()
{
  if (settings_.metricsAddress.empty()) {
    return {};
  }
  StatusServerHooks hooks;
  hooks.showMetrics = [this](HttpResponder aRespond) {
    control_.Post([this, respond = std::move(aRespond)] {
      metrics_
        .FindGauge({ "greengage_running_tasks", "" },
                   "Tasks that run at the backend server")
        .Set(static_cast<double>(Status().runningTasks));
      metrics_
        .FindGauge({ "greengage_peer_sessions", "" },
                   "Open connections to and from peers")
        .Set(static_cast<double>(network_.SessionCount()));
      respond(MetricsResponse(metrics_.ToPrometheusText()));
    });
  };
  hooks.showStatus = [this](HttpResponder aRespond) {
    control_.Post([this, respond = std::move(aRespond)] {
      respond({ 200, protocol::EncodeProcessStatus(Status()) });
    });
  };
  statusServer_ = std::make_unique<StatusServer>(traffic_, std::move(hooks));
  auto started =
    statusServer_->Start(*transport::ParseEndpoint(settings_.metricsAddress));
  if (!started) {
    return tl::unexpected(DaemonError{ started.error().message });
  }
  metricsAddress_ = transport::ToString(*started);
  return {};
}

protocol::ProcessStatus
AgentProcess::Status() const
{
  protocol::ProcessStatus status;
  status.process = self_;
  status.uptime = std::chrono::duration_cast<std::chrono::seconds>(
    clock_.MonotonicNow() - startedAt_);
  status.stopping = self_.draining;
  status.runningTasks = runner_ ? runner_->RunningTasks() : 0;
  return status;
}

}
