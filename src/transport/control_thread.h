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
 * The one thread that owns the control state of a process. Everything that
 * reads or changes coordination or state objects is posted here.
 */
class ControlThread
{
public:
  ControlThread();
  ~ControlThread();

  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /** Runs the function on the control thread, in order of posting. */
  void Post(std::function<void()> aFunction);

  /** Runs the function again and again; call before Start(). */
  void Every(std::chrono::milliseconds aPeriod,
             std::function<void()> aFunction);

  /** Runs the function once after a delay. */
  void After(std::chrono::milliseconds aDelay, std::function<void()> aFunction);

  void Start();
  /** Ends the thread after the function that runs now. */
  void Stop();

private:
  struct Periodic
  {
    std::chrono::milliseconds period;
    std::function<void()> function;
    boost::asio::steady_timer timer;
  };

  void Arm(Periodic& aPeriodic);

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_;
  std::vector<std::unique_ptr<Periodic>> periodics_;
  std::thread thread_;
};

}
