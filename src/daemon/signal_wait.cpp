#include "daemon/signal_wait.h"

#include <csignal>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

namespace greengage::daemon {

namespace {

void
WaitForReload(boost::asio::signal_set& aSignals,
              const std::function<void()>& aReload)
{
  aSignals.async_wait(
    [&aSignals, &aReload](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (aReload) {
        aReload();
      }
      WaitForReload(aSignals, aReload);
    });
}

}

void
WaitForStopSignal(
  const std::function<void(std::function<void()> aStopped)>& aStop,
  const std::function<void()>& aReload)
{
  boost::asio::io_context context;
  boost::asio::signal_set reload(context, SIGHUP);
  WaitForReload(reload, aReload);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) {
    signals.async_wait([&](const boost::system::error_code& aError, int) {
      if (!aError) {
        context.stop();
      }
    });
    aStop([&context] { context.stop(); });
  });
  auto work = boost::asio::make_work_guard(context);
  context.run();
}

}
