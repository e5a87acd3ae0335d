#include "transport/traffic_pool.h"

namespace greengage::transport {

TrafficPool::TrafficPool(unsigned aThreads, const ConnectionLimits& aLimits)
  : threadCount_(aThreads)
  , guard_(aLimits)
  , context_(static_cast<int>(aThreads))
  , workGuard_(boost::asio::make_work_guard(context_))
{
}

TrafficPool::~TrafficPool()
{
  Stop();
}

void
TrafficPool::Start()
{
  for (unsigned i = 0; i < threadCount_; ++i) {
    threads_.emplace_back([this] { context_.run(); });
  }
}

void
TrafficPool::Stop()
{
  context_.stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

}
