#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tools/load_ideal.h"
#include "tools/load_plan.h"

namespace greengage::tools {

/** What came back for one job. */
struct JobReply
{
  bool answered = false;
  bool complete = false;
  /** `none` if complete, `no_answer` if the connection failed. */
  std::string code = "no_answer";
  std::string run = "unknown";
  std::size_t results = 0;
  std::chrono::microseconds latency{ 0 };
  /** The body, to compare the answers to resubmissions. */
  std::string body;

  bool operator==(const JobReply&) const = default;
};

/** Reads the answer of an entry; a malformed body gives `malformed`. */
JobReply
ParseJobReply(const std::string& aBody, std::chrono::microseconds aLatency);

/** Replies to one planned job: the first submission and the second, if any. */
struct JobReplies
{
  JobReply first;
  JobReply second;
  bool resubmitted = false;

  bool operator==(const JobReplies&) const = default;
};

/** Sums of counters over all processes, by name. */
using CounterSums = std::map<std::string, double>;

/** Adds the counters of one Prometheus text, summed over their labels. */
void
AddCounters(const std::string& aText, CounterSums& aSums);

/** Everything that a run of the load tool measured. */
struct LoadResult
{
  std::string label;
  std::vector<PlannedJob> plan;
  std::vector<JobReplies> replies;
  std::vector<ServerCapacity> servers;
  /** Growth of the counters during the run; empty if not scraped. */
  CounterSums counters;
  std::chrono::milliseconds duration{ 0 };

  bool operator==(const LoadResult&) const = default;
};

/** One line per violated invariant: partial or different answers. */
std::vector<std::string>
FindViolations(const LoadResult& aResult);

/** The result as a JSON text; latencies are in ms. */
std::string
EncodeLoadResult(const LoadResult& aResult);

}
