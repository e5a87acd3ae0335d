#include "coordination/dispatch/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/** Work in ms of a task without an estimate in a queue without samples. */
constexpr double kPriorWorkMs = 200;
/** Upper limit of a queue's weight, which lets old samples decay. */
constexpr double kMaxQueueWeight = 400;
/**
 * Work is taken as proportional to the estimate until the variance of the
 * estimates exceeds this, so that an unusual estimate has an effect in a queue
 * of otherwise equal ones.
 */
constexpr double kSlopePriorVariance = 0.02;
/** Standard deviation of log(speed) added for servers without samples ... */
constexpr double kPriorSpeedDeviation = 0.5;
/** ... and the minimum, for servers with many samples. */
constexpr double kLeastSpeedDeviation = 0.05;
/** Number of samples of a queue before its regression is used. */
constexpr double kMinQueueSamples = 30;
/** Upper limit of a server's weight: about a dozen recent runs count. */
constexpr double kMaxServerWeight = 16;
/** Weight of the prior speed, as a number of samples. */
constexpr double kPriorWeight = 2;
/**
 * Time constant with which the speed of an idle slow server returns to the
 * prior. A server that is avoided as slow gets no samples, so without the decay
 * it would not be used again.
 */
constexpr std::chrono::duration<double> kSpeedDecayTime{ 6 };
/**
 * Limit of log(speed): a factor of 20 above or below the prior. The work of a
 * task is what its caller states, so a caller whose estimates are days would
 * otherwise make a server appear thousands of times as fast as it is, and the
 * tasks of others be stopped as overdue.
 */
constexpr double kMaxLogSpeed = 3;
/** Limits the change of a speed by one run to a factor of four. */
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
  if (found == queues_.end() || found->second.weight < kMinQueueSamples) {
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
  double decay = std::exp(-std::max(0.0, idle / kSpeedDecayTime - 0.25));
  return std::exp(speed.logSpeed * (speed.logSpeed < 0 ? decay : 1));
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
  queue.weight = std::min(queue.weight + 1, kMaxQueueWeight);
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
  aSpeed.weight = std::min(aSpeed.weight + 1, kMaxServerWeight);
  double step = (aLogSpeed - aSpeed.logSpeed) / (aSpeed.weight + kPriorWeight);
  aSpeed.logSpeed =
    std::clamp(aSpeed.logSpeed + std::clamp(step, -kMaxLogStep, kMaxLogStep),
               -kMaxLogSpeed,
               kMaxLogSpeed);
  aSpeed.sampledAt = clock_.MonotonicNow();
}

void
RunTimeModel::RemoveServer(const ProcessId& aServer)
{
  servers_.erase(aServer);
}

}
