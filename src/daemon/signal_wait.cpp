#include "daemon/signal_wait.h"

#include <csignal>

#include <boost/asio/executor_work_guard.hpp>

namespace greengage::daemon {

SignalWait::SignalWait()
  : reloadSignals_(context_, SIGHUP)
  , stopSignals_(context_, SIGTERM, SIGINT)
{
}

void
SignalWait::AwaitReload(const std::function<void()>& aReload)
{
  reloadSignals_.async_wait(
    [this, &aReload](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (aReload) {
        aReload();
      }
      AwaitReload(aReload);
    });
}

void
SignalWait::Wait(
  const std::function<void(std::function<void()> aStopped)>& aStop,
  const std::function<void()>& aReload)
{
  AwaitReload(aReload);
  stopSignals_.async_wait([&](const boost::system::error_code&, int) {
    stopSignals_.async_wait([&](const boost::system::error_code& aError, int) {
      if (!aError) {
        context_.stop();
      }
    });
    aStop([this] { context_.stop(); });
  });
  auto work = boost::asio::make_work_guard(context_);
  context_.run();
}

}
