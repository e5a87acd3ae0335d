#pragma once

#include <chrono>
#include <map>
#include <string>

#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Estimates the work of tasks per queue and the speed of each server from run
 * times. Work is the run time in ms on a server of speed 1, which is the prior.
 */
class RunTimeModel
{
public:
  explicit RunTimeModel(const state::Clock& aClock);

  /** Returns the expected work of a task, in ms at speed 1. */
  double WorkMs(const std::string& aQueue,
                std::chrono::milliseconds aEstimate) const;
  double Speed(const state::ProcessId& aServer) const;
  /** Returns the standard deviation of the logarithm of Speed(). */
  double SpeedDeviation(const state::ProcessId& aServer) const;
  /** Returns the highest estimated speed, at least the prior of 1. */
  double HighestSpeed() const;

  /** Adds the run time of a task that succeeded. */
  void AddSample(const std::string& aQueue,
                 std::chrono::milliseconds aEstimate,
                 const state::ProcessId& aServer,
                 std::chrono::milliseconds aRunTime);
  /**
   * Adds a run that is not done after this time. It lowers the speed of a
   * server that has become slow before its runs end.
   */
  void AddOverdue(const std::string& aQueue,
                  std::chrono::milliseconds aEstimate,
                  const state::ProcessId& aServer,
                  std::chrono::milliseconds aRunTimeSoFar);
  void RemoveServer(const state::ProcessId& aServer);

private:
  /** Regression of log(work) on log(estimate) with decaying weights. */
  struct QueueWork
  {
    double weight = 0;
    double meanX = 0;
    double meanY = 0;
    double varianceX = 0;
    double covariance = 0;
  };

  struct ServerSpeed
  {
    double logSpeed = 0;
    double weight = 0;
    state::MonotonicTime sampledAt;
  };

  void MoveSpeed(ServerSpeed& aSpeed, double aLogSpeed);

  const state::Clock& clock_;
  std::map<std::string, QueueWork> queues_;
  std::map<state::ProcessId, ServerSpeed> servers_;
};

}
