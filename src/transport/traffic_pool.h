#pragma once

#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace greengage::transport {

/** Threads for sockets, encoding and decoding; they hold no control state. */
class TrafficPool
{
public:
  explicit TrafficPool(unsigned aThreads);
  ~TrafficPool();

  TrafficPool(const TrafficPool&) = delete;
  TrafficPool& operator=(const TrafficPool&) = delete;

  boost::asio::io_context& Context() { return context_; }

  void Start();
  void Stop();

private:
  unsigned threadCount_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_;
  std::vector<std::thread> threads_;
};

}
