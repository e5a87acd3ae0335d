#include "coordination/dispatch/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/** Work of a task without an estimate in a queue without samples. */
constexpr double kPriorWorkMs = 200;
/** Samples after which an old one has lost most of its weight. */
constexpr double kQueueMemory = 400;
/**
 * Estimates are taken as proportional until their own spread exceeds this, so
 * that a queue of equal estimates does not hide an unusual one.
 */
constexpr double kSlopePriorVariance = 0.02;
/** Spread of the speeds of unknown servers, as a logarithm ... */
constexpr double kPriorSpeedDeviation = 0.5;
/** ... and of those that are known well. */
constexpr double kLeastSpeedDeviation = 0.05;
/** Samples of a queue before its regression is used. */
constexpr double kQueueSamples = 30;
/** A server's speed follows the last dozen of its runs. */
constexpr double kServerMemory = 16;
/** Weight of the prior speed, in samples. */
constexpr double kPriorSamples = 2;
/**
 * A server that was avoided as slow gets no samples; its speed returns to the
 * prior over this time, so that it is tried again.
 */
constexpr std::chrono::duration<double> kSpeedMemory{ 6 };
/** One run moves a speed by a factor of four at most. */
constexpr double kMaxLogStep = 1.4;

double
LogMs(milliseconds aTime)
{
  return std::log(std::max<double>(1, static_cast<double>(aTime.count())));
}

}

RunTimeModel::RunTimeModel(const state::Clock& aClock)
  : clock_(aClock)
{
}

double
RunTimeModel::WorkMs(const std::string& aQueue, milliseconds aEstimate) const
{
  auto found = queues_.find(aQueue);
  bool hasEstimate = aEstimate.count() > 0;
  if (found == queues_.end() || found->second.weight < kQueueSamples) {
    return hasEstimate ? static_cast<double>(aEstimate.count()) : kPriorWorkMs;
  }
  const QueueWork& queue = found->second;
  if (!hasEstimate) {
    return std::exp(queue.meanY);
  }
  double slope = std::clamp((queue.covariance + kSlopePriorVariance) /
                              (queue.varianceX + kSlopePriorVariance),
                            0.0,
                            1.0);
  return std::exp(queue.meanY + slope * (LogMs(aEstimate) - queue.meanX));
}

double
RunTimeModel::Speed(const ProcessId& aServer) const
{
  auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return 1;
  }
  const ServerSpeed& speed = found->second;
  std::chrono::duration<double> idle = clock_.MonotonicNow() - speed.sampledAt;
  double kept = std::exp(-std::max(0.0, idle / kSpeedMemory - 0.25));
  return std::exp(speed.logSpeed * (speed.logSpeed < 0 ? kept : 1));
}

double
RunTimeModel::SpeedDeviation(const ProcessId& aServer) const
{
  auto found = servers_.find(aServer);
  double weight = found == servers_.end() ? 0 : found->second.weight;
  return kLeastSpeedDeviation + kPriorSpeedDeviation / (1 + weight);
}

double
RunTimeModel::HighestSpeed() const
{
  double highest = 1;
  for (const auto& [id, speed] : servers_) {
    highest = std::max(highest, std::exp(speed.logSpeed));
  }
  return highest;
}

void
RunTimeModel::AddSample(const std::string& aQueue,
                        milliseconds aEstimate,
                        const ProcessId& aServer,
                        milliseconds aRunTime)
{
  double expectedWork = std::log(WorkMs(aQueue, aEstimate));
  double logTime = LogMs(aRunTime);
  auto [server, isNew] = servers_.try_emplace(aServer);
  double logSpeed = std::log(Speed(aServer));
  QueueWork& queue = queues_[aQueue];
  queue.weight = std::min(queue.weight + 1, kQueueMemory);
  double share = 1 / queue.weight;
  double dx = (aEstimate.count() > 0 ? LogMs(aEstimate) : 0) - queue.meanX;
  double dy = logTime + logSpeed - queue.meanY;
  queue.meanX += share * dx;
  queue.meanY += share * dy;
  queue.varianceX = (1 - share) * (queue.varianceX + share * dx * dx);
  queue.covariance = (1 - share) * (queue.covariance + share * dx * dy);
  MoveSpeed(server->second, expectedWork - logTime);
}

void
RunTimeModel::AddOverdue(const std::string& aQueue,
                         milliseconds aEstimate,
                         const ProcessId& aServer,
                         milliseconds aRunTimeSoFar)
{
  auto [server, isNew] = servers_.try_emplace(aServer);
  double implied = std::log(WorkMs(aQueue, aEstimate)) - LogMs(aRunTimeSoFar);
  if (implied < server->second.logSpeed) {
    MoveSpeed(server->second, implied);
  }
}

void
RunTimeModel::MoveSpeed(ServerSpeed& aSpeed, double aLogSpeed)
{
  aSpeed.weight = std::min(aSpeed.weight + 1, kServerMemory);
  double step = (aLogSpeed - aSpeed.logSpeed) / (aSpeed.weight + kPriorSamples);
  aSpeed.logSpeed += std::clamp(step, -kMaxLogStep, kMaxLogStep);
  aSpeed.sampledAt = clock_.MonotonicNow();
}

void
RunTimeModel::Forget(const ProcessId& aServer)
{
  servers_.erase(aServer);
}

}
