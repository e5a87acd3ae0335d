#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tools/load_ideal.h"
#include "tools/load_plan.h"

namespace greengage::tools {

/** The answer to one submission of a job. */
struct JobReply
{
  bool answered = false;
  bool complete = false;
  /** `none` if complete, `no_answer` if the connection failed. */
  std::string code = "no_answer";
  std::string run = "unknown";
  /** Number of results in the answer. */
  std::size_t results = 0;
  std::chrono::microseconds latency{ 0 };
  /** Body of the answer, compared with the answer to the resubmission. */
  std::string body;

  bool operator==(const JobReply&) const = default;
};

/** Parses the answer of an entry; the code of a bad body is `malformed`. */
JobReply
ParseJobReply(const std::string& aBody, std::chrono::microseconds aLatency);

/** Answers to the first and, if any, the second submission of a job. */
struct JobReplies
{
  JobReply first;
  JobReply second;
  bool resubmitted = false;

  bool operator==(const JobReplies&) const = default;
};

/** Sums of counters over all processes, by metric name. */
using CounterSums = std::map<std::string, double>;

/** Adds the counters of a Prometheus text, summed over their labels. */
void
AddCounters(const std::string& aText, CounterSums& aSums);

/** Measurements of one run of the load tool. */
struct LoadResult
{
  std::string label;
  std::vector<PlannedJob> plan;
  std::vector<JobReplies> replies;
  std::vector<ServerCapacity> servers;
  /** Increase of the counters during the run; empty if they were not read. */
  CounterSums counters;
  std::chrono::milliseconds duration{ 0 };

  bool operator==(const LoadResult&) const = default;
};

/**
 * Returns one line per violated invariant: a malformed or incomplete answer, or
 * different answers to two submissions of one job.
 */
std::vector<std::string>
FindViolations(const LoadResult& aResult);

/** Encodes the result as JSON text; latencies are in ms. */
std::string
EncodeLoadResult(const LoadResult& aResult);

}
