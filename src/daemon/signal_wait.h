#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace greengage::daemon {

/**
 * Handles SIGTERM, SIGINT and SIGHUP from its construction on, which should
 * therefore be the first statement of a program: a signal that arrives while
 * the program starts is kept until Wait(), in place of ending the process.
 */
class SignalWait
{
public:
  SignalWait();

  /**
   * Blocks until SIGTERM or SIGINT, then calls aStop with a callback, and
   * returns once the callback has been called. A second signal ends the wait at
   * once. aReload is called on each SIGHUP; if it is empty, SIGHUP is ignored.
   */
  void Wait(const std::function<void(std::function<void()> aStopped)>& aStop,
            const std::function<void()>& aReload = nullptr);

private:
  void AwaitReload(const std::function<void()>& aReload);

  boost::asio::io_context context_;
  boost::asio::signal_set reloadSignals_;
  boost::asio::signal_set stopSignals_;
};

}
