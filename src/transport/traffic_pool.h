#pragma once

#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "transport/connection_guard.h"

namespace greengage::transport {

/**
 * Threads for socket operations, encoding and decoding. They do not access
 * control state, which belongs to the control thread.
 */
class TrafficPool
{
public:
  /** aLimits applies to the connections that are accepted on these threads. */
  explicit TrafficPool(unsigned aThreads, const ConnectionLimits& aLimits = {});
  ~TrafficPool();

  TrafficPool(const TrafficPool&) = delete;
  TrafficPool& operator=(const TrafficPool&) = delete;

  boost::asio::io_context& Context() { return context_; }
  /** Shared by all listeners that use these threads. */
  ConnectionGuard& Guard() { return guard_; }

  void Start();
  /** Stops the threads; handlers that are still queued do not run. */
  void Stop();

private:
  unsigned threadCount_;
  /** Destroyed after the context, whose handlers hold connections. */
  ConnectionGuard guard_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    workGuard_;
  std::vector<std::thread> threads_;
};

}
