#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/messages.h"

namespace greengage::protocol {

/** Owner of a shard as one entry knows it. */
struct ShardStatus
{
  std::uint32_t shard = 0;
  /** False while no owner is known; the other fields are then empty. */
  bool known = false;
  state::ProcessId owner;
  std::string address;
  state::OwnershipToken token;

  auto operator<=>(const ShardStatus&) const = default;
};

/** What `GET /v1/status` shows. */
struct ProcessStatus
{
  coordination::ProcessInfo process;
  std::chrono::seconds uptime{ 0 };
  bool stopping = false;
  /** Requests of callers that have no answer yet; entries only. */
  std::size_t pendingRequests = 0;
  /** Tasks that run at the backend server; agents only. */
  std::size_t runningTasks = 0;
  /** Entries only. */
  std::vector<ShardStatus> shards;

  bool operator==(const ProcessStatus&) const = default;
};

/** One backend server as `GET /v1/workers` shows it. */
struct WorkerStatus
{
  coordination::ProcessInfo process;
  std::uint32_t runningTasks = 0;
  /** True while the owner gives it no tasks because they failed there. */
  bool ejected = false;
  /** Learned speed; 1 is the speed for which run times are declared. */
  double speed = 1;

  auto operator<=>(const WorkerStatus&) const = default;
};

std::string
EncodeProcessStatus(const ProcessStatus& aStatus);

std::string
EncodeWorkers(const std::vector<WorkerStatus>& aWorkers);

}
