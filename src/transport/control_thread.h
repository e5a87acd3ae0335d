#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace greengage::transport {

/**
 * The thread that owns the control state of a process. Coordination and state
 * objects are read and changed on this thread only; other threads post
 * functions to it.
 */
class ControlThread
{
public:
  ControlThread();
  ~ControlThread();

  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /**
   * Queues the function for the control thread; functions run in the order in
   * which they were posted. May be called from any thread.
   */
  void Post(std::function<void()> aFunction);

  /**
   * Runs the function repeatedly, each time aPeriod after the end of the last
   * run. Must be called before Start().
   */
  void Every(std::chrono::milliseconds aPeriod,
             std::function<void()> aFunction);

  /** Runs the function once, after the delay. */
  void After(std::chrono::milliseconds aDelay, std::function<void()> aFunction);

  void Start();
  /**
   * Stops the thread after the function that is running; functions that are
   * still queued do not run.
   */
  void Stop();

private:
  struct PeriodicTimer
  {
    std::chrono::milliseconds period;
    std::function<void()> function;
    boost::asio::steady_timer timer;
  };

  void Arm(PeriodicTimer& aTimer);

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    workGuard_;
  std::vector<std::unique_ptr<PeriodicTimer>> periodicTimers_;
  std::thread thread_;
};

}
