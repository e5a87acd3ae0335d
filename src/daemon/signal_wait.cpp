#include "daemon/signal_wait.h"

#include <csignal>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

namespace greengage::daemon {

void
WaitForStopSignal(
  const std::function<void(std::function<void()> aStopped)>& aStop)
{
  boost::asio::io_context context;
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
