#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace greengage::state {

/** Where callers submit one kind of work, and how it is run. */
struct WorkQueue
{
  std::string name;
  /** Host header and beginning of the path that select the queue. */
  std::string host;
  std::string pathPrefix;
  /** Pool of backend servers that run its tasks. */
  std::string service;
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  /** Runs of a task that may fail before its job fails. */
  std::uint32_t maxAttempts = 1;
  /** Longest time for an answer. */
  std::chrono::milliseconds timeout{ 0 };
  /** The objective is stretch x run time of the job + margin. */
  double objectiveStretch = 1;
  std::chrono::milliseconds objectiveMargin{ 0 };
  /** True if tasks need an approval that this version cannot obtain. */
  bool needsApproval = false;

  auto operator<=>(const WorkQueue&) const = default;
};

/** All queues in force; a higher version replaces a lower one. */
struct DispatchConfiguration
{
  std::uint64_t version = 0;
  std::vector<WorkQueue> queues;
  /** Largest body of a caller's request in bytes; 0: not limited. */
  std::size_t maxBodyBytes = 0;

  auto operator<=>(const DispatchConfiguration&) const = default;
};

/** Queue with the longest prefix that fits; null if there is none. */
const WorkQueue*
FindQueue(const DispatchConfiguration& aConfiguration,
          const std::string& aHost,
          const std::string& aPath);

}
