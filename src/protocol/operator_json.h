#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/messages.h"

namespace greengage::protocol {

/** Owner of a shard in the view of one entry. */
struct ShardStatus
{
  std::uint32_t shard = 0;
  /** False while the owner is unknown; the other fields are then empty. */
  bool ownerKnown = false;
  state::ProcessId owner;
  std::string address;
  state::OwnershipToken token;

  auto operator<=>(const ShardStatus&) const = default;
};

/** Content of the response to `GET /v1/status`. */
struct ProcessStatus
{
  coordination::ProcessInfo process;
  std::chrono::seconds uptime{ 0 };
  bool stopping = false;
  /** Requests of callers without an answer so far; entries only. */
  std::size_t pendingRequests = 0;
  /** Tasks running at the backend server; agents only. */
  std::size_t runningTasks = 0;
  /** Entries only. */
  std::vector<ShardStatus> shards;

  bool operator==(const ProcessStatus&) const = default;
};

/** One backend server in the response to `GET /v1/workers`. */
struct WorkerStatus
{
  coordination::ProcessInfo process;
  std::uint32_t runningTasks = 0;
  /** True while the owner assigns it no tasks because tasks failed there. */
  bool ejected = false;
  /** Estimate; 1 is the speed for which templates declare run times. */
  double speed = 1;

  auto operator<=>(const WorkerStatus&) const = default;
};

std::string
EncodeProcessStatus(const ProcessStatus& aStatus);

std::string
EncodeWorkers(const std::vector<WorkerStatus>& aWorkers);

}
