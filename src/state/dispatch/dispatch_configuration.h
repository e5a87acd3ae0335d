#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace greengage::state {

/** A queue for one kind of work: its address and its run parameters. */
struct WorkQueue
{
  std::string name;
  /** Host header and path prefix that select the queue. */
  std::string host;
  std::string pathPrefix;
  /** Pool of backend servers that run its tasks. */
  std::string service;
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  /** Number of failed runs of a task after which its job fails. */
  std::uint32_t maxAttempts = 1;
  /**
   * Longest time until the answer for callers that state none; 0: not given.
   */
  std::chrono::milliseconds timeout{ 0 };
  /** Objective = objectiveStretch x run time of the job + objectiveMargin. */
  double objectiveStretch = 1;
  std::chrono::milliseconds objectiveMargin{ 0 };
  /** True if tasks need an approval, which this version does not support. */
  bool needsApproval = false;

  auto operator<=>(const WorkQueue&) const = default;
};

/** All configured queues; a higher version replaces a lower one. */
struct DispatchConfiguration
{
  std::uint64_t version = 0;
  std::vector<WorkQueue> queues;
  /** Largest body of a caller's request in bytes; 0: not limited. */
  std::size_t maxBodyBytes = 0;

  auto operator<=>(const DispatchConfiguration&) const = default;
};

}
