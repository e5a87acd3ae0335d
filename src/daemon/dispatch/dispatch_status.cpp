#include "daemon/dispatch/dispatch_status.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace greengage::daemon {

namespace json = boost::json;
using namespace coordination;
using transport::HttpResponder;

namespace {

json::object
Describe(const DispatchServerView& aServer)
{
  return { { "agent", aServer.agent.ToString() },
           { "server", aServer.server },
           { "data_centre", aServer.dataCentre },
           { "condition", ToString(aServer.condition) },
           { "speed", aServer.speed },
           { "capacity_millicores", aServer.capacity.cpuMillicores },
           { "used_millicores", aServer.used.cpuMillicores },
           { "runs_of_this_entry", aServer.ownRuns },
           { "failures_in_row", aServer.failuresInRow },
           { "left_alone_ms", aServer.cooldown.count() },
           { "evacuated", aServer.isEvacuated } };
}

json::object
Describe(const state::EvacuationState& aState)
{
  return { { "revision", aState.revision },
           { "data_centres",
             json::array(aState.dataCentres.begin(),
                         aState.dataCentres.end()) } };
}

}

const char*
ToString(ServerCondition aCondition)
{
  switch (aCondition) {
    case ServerCondition::eReady:
      return "ready";
    case ServerCondition::eDraining:
      return "draining";
    case ServerCondition::eUnreachable:
      return "unreachable";
    case ServerCondition::eUnreliable:
      return "unreliable";
  }
  return "unknown";
}

std::string
DescribeDispatcher(const JobDispatcher& aDispatcher,
                   const state::EvacuationState& aEvacuation,
                   bool aReady)
{
  json::array servers;
  for (const DispatchServerView& server : aDispatcher.Servers().Views()) {
    servers.push_back(Describe(server));
  }
  return json::serialize(
    json::object{ { "ready", aReady },
                  { "configuration", aDispatcher.Configuration().version },
                  { "queues", aDispatcher.Configuration().queues.size() },
                  { "jobs", aDispatcher.JobCount() },
                  { "jobs_waiting", aDispatcher.WaitingCount() },
                  { "evacuation", Describe(aEvacuation) },
                  { "servers", std::move(servers) } });
}

std::string
DescribeRunController(const RunController& aController)
{
  const auto& server = aController.Server();
  return json::serialize(
    json::object{ { "server", server ? server->id : "none" },
                  { "service", server ? server->service : "none" },
                  { "condition", ToString(aController.Condition()) },
                  { "evacuation", Describe(aController.Evacuation()) },
                  { "runs", aController.RunCount() } });
}

StatusServerHooks
MakeStatusHooks(transport::ControlThread& aControl,
                const transport::MetricsRegistry& aMetrics,
                std::function<std::string()> aDescribe)
{
  StatusServerHooks hooks;
  hooks.showMetrics = [&aControl, &aMetrics](HttpResponder aRespond) {
    aControl.Post([&aMetrics, respond = std::move(aRespond)] {
      respond(MetricsResponse(aMetrics.ToPrometheusText()));
    });
  };
  hooks.showStatus = [&aControl,
                      describe = std::move(aDescribe)](HttpResponder aRespond) {
    aControl.Post([describe, respond = std::move(aRespond)] {
      respond({ 200, describe() });
    });
  };
  return hooks;
}

}
