#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "state/job_id.h"
#include "tools/load_result.h"
#include "transport/control_thread.h"
#include "transport/http_client.h"
#include "transport/traffic_pool.h"

namespace greengage::tools {

/** Addresses of the processes under load. */
struct LoadTargets
{
  /** Addresses `ip:port` of the entries, used in turn. */
  std::vector<std::string> entries;
  /** Addresses `ip:port` whose /metrics are read before and after the run. */
  std::vector<std::string> metrics;

  bool operator==(const LoadTargets&) const = default;
};

/**
 * Submits the jobs of a plan at their planned times, independently of the
 * answers to earlier jobs, and collects the answers. Prints the progress to
 * standard error.
 */
class LoadRunner
{
public:
  LoadRunner(const LoadSettings& aSettings, const LoadTargets& aTargets);
  ~LoadRunner();

  /** Blocks until every submission is answered or has failed. */
  LoadResult Run();

private:
  void Submit(std::size_t aJob);
  void Send(std::size_t aJob, std::size_t aEntry, bool aIsResubmission);
  void OnReply(std::size_t aJob, bool aIsResubmission, JobReply aReply);
  void ShowProgress();
  CounterSums ReadCounters();
  /** Returns the body of the response; empty unless the status is 200. */
  std::string Get(const std::string& aAddress, const std::string& aTarget);

  LoadSettings settings_;
  LoadTargets targets_;
  transport::TrafficPool traffic_;
  transport::ControlThread control_;
  std::vector<std::unique_ptr<transport::HttpClient>> clients_;
  std::chrono::steady_clock::time_point start_;
  std::mt19937_64 random_;
  std::vector<state::JobId> ids_;
  LoadResult result_;
  std::size_t sent_ = 0;
  std::size_t answered_ = 0;
  std::size_t expectedAnswers_ = 0;
  std::mutex mutex_;
  std::condition_variable finished_;
  bool isDone_ = false;
};

}
