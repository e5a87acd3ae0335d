#include "transport/control_thread.h"

#include <boost/asio/post.hpp>

namespace greengage::transport {

namespace asio = boost::asio;

ControlThread::ControlThread()
  : context_(1)
  , workGuard_(asio::make_work_guard(context_))
{
}

ControlThread::~ControlThread()
{
  Stop();
}

void
ControlThread::Post(std::function<void()> aFunction)
{
  asio::post(context_, std::move(aFunction));
}

void
ControlThread::Every(std::chrono::milliseconds aPeriod,
                     std::function<void()> aFunction)
{
  periodicTimers_.push_back(std::make_unique<PeriodicTimer>(PeriodicTimer{
    aPeriod, std::move(aFunction), asio::steady_timer(context_) }));
  Arm(*periodicTimers_.back());
}

void
ControlThread::After(std::chrono::milliseconds aDelay,
                     std::function<void()> aFunction)
{
  auto timer = std::make_unique<asio::steady_timer>(context_, aDelay);
  auto& reference = *timer;
  reference.async_wait(
    [timer = std::move(timer),
     function = std::move(aFunction)](const boost::system::error_code& aError) {
      if (!aError) {
        function();
      }
    });
}

void
ControlThread::Start()
{
  thread_ = std::thread([this] { context_.run(); });
}

void
ControlThread::Stop()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
ControlThread::Arm(PeriodicTimer& aTimer)
{
  aTimer.timer.expires_after(aTimer.period);
  aTimer.timer.async_wait(
    [this, &aTimer](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      aTimer.function();
      Arm(aTimer);
    });
}

}
