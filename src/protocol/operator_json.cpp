#include "protocol/operator_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace greengage::protocol {

namespace json = boost::json;

namespace {

json::object
ToJson(const coordination::ProcessInfo& aProcess)
{
  json::object object;
  object["id"] = aProcess.id.ToString();
  object["role"] =
    aProcess.role == coordination::ProcessRole::eEntry ? "entry" : "agent";
  object["address"] = aProcess.peerAddress;
  object["data_centre"] = aProcess.dataCentre;
  object["rack"] = aProcess.rack;
  object["draining"] = aProcess.draining;
  if (aProcess.role == coordination::ProcessRole::eAgent) {
    object["slots"] = aProcess.slots;
    object["memory_mb"] = aProcess.memoryMb;
    object["accelerators"] = aProcess.accelerators;
  }
  return object;
}

json::object
ToJson(const ShardStatus& aShard)
{
  json::object object;
  object["shard"] = aShard.shard;
  object["owner_known"] = aShard.ownerKnown;
  if (aShard.ownerKnown) {
    object["owner"] = aShard.owner.ToString();
    object["address"] = aShard.address;
    object["epoch"] = aShard.token.epoch;
    object["term"] = aShard.token.term;
  }
  return object;
}

}

std::string
EncodeProcessStatus(const ProcessStatus& aStatus)
{
  json::object object = ToJson(aStatus.process);
  object["uptime_s"] = aStatus.uptime.count();
  object["stopping"] = aStatus.stopping;
  if (aStatus.process.role == coordination::ProcessRole::eAgent) {
    object["running_tasks"] = aStatus.runningTasks;
  } else {
    object["pending_requests"] = aStatus.pendingRequests;
    json::array shards;
    for (const ShardStatus& shard : aStatus.shards) {
      shards.push_back(ToJson(shard));
    }
    object["shards"] = std::move(shards);
  }
  return json::serialize(object) + "\n";
}

std::string
EncodeWorkers(const std::vector<WorkerStatus>& aWorkers)
{
  json::array workers;
  for (const WorkerStatus& worker : aWorkers) {
    json::object object = ToJson(worker.process);
    object["running_tasks"] = worker.runningTasks;
    object["ejected"] = worker.ejected;
    object["speed"] = worker.speed;
    workers.push_back(std::move(object));
  }
  json::object body;
  body["workers"] = std::move(workers);
  return json::serialize(body) + "\n";
}

}
