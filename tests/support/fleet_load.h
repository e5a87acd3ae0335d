#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/process_fleet.h"
#include "tools/load_result.h"

namespace greengage::testing_support {

/** What the jobs of a FleetLoad look like. */
struct FleetLoadOptions
{
  std::size_t threads = 8;
  std::uint32_t tasks = 3;
  std::uint32_t runTimeMs = 50;
  std::chrono::milliseconds deadline{ 8000 };
};

/** One job that was submitted and what came back. */
struct SubmittedJob
{
  std::string id;
  tools::JobReply reply;
};

/**
 * Callers that submit one job after the other in threads of their own, each to
 * the next entry, until they are told to stop.
 */
class FleetLoad
{
public:
  FleetLoad(ProcessFleet& aFleet, const FleetLoadOptions& aOptions);
  ~FleetLoad();

  /** Waits until this many jobs were answered; false if it takes too long. */
  bool AwaitAnswers(std::size_t aCount);
  /** Submits no more jobs and waits for the answers. */
  std::vector<SubmittedJob> Stop();

private:
  void RunCaller(std::size_t aCaller);
  SubmittedJob SubmitOne(const std::string& aAddress, const std::string& aId);

  ProcessFleet& fleet_;
  FleetLoadOptions options_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<SubmittedJob> jobs_;
  std::vector<std::thread> threads_;
};

/** Starts of every task at all backend servers, as `org/job/task`. */
std::map<std::string, std::uint32_t>
CountStarts(ProcessFleet& aFleet);

/** Number of jobs by code. */
std::map<std::string, std::size_t>
CountCodes(const std::vector<SubmittedJob>& aJobs);

/**
 * Checks the invariants of the design page: no task started twice, no partial
 * answer, every `not_run` true, every answer within the deadline and 3 s.
 */
void
ExpectInvariants(ProcessFleet& aFleet,
                 const std::vector<SubmittedJob>& aJobs,
                 const FleetLoadOptions& aOptions);

}
