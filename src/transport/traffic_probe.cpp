#include "transport/traffic_probe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/post.hpp>

namespace greengage::transport {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/**
 * Turns through the queue after the poll. The handlers of sockets are queued by
 * the poll and pass through the strand of their session, which is one turn.
 */
constexpr unsigned kTurnsAfterPoll = 2;

}

TrafficProbe::TrafficProbe(TrafficPool& aTraffic)
  : traffic_(aTraffic)
  , sender_(aTraffic.Context())
  , receiver_(aTraffic.Context())
{
  asio::local::connect_pair(sender_, receiver_);
  sender_.non_blocking(true);
  receiver_.non_blocking(true);
}

void
TrafficProbe::Send(std::function<void()> aReturned)
{
  asio::post(traffic_.Context(),
             [this, returned = std::move(aReturned)]() mutable {
               PassThroughPoll(std::move(returned));
             });
}

void
TrafficProbe::PassThroughPoll(std::function<void()> aReturned)
{
  receiver_.async_wait(
    asio::socket_base::wait_read,
    [this, returned = std::move(aReturned)](error_code aError) mutable {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      char byte = 0;
      error_code ignored;
      receiver_.receive(asio::buffer(&byte, 1), 0, ignored);
      PassThroughQueue(kTurnsAfterPoll, std::move(returned));
    });
  char byte = 0;
  error_code ignored;
  sender_.send(asio::buffer(&byte, 1), 0, ignored);
}

void
TrafficProbe::PassThroughQueue(unsigned aTurns, std::function<void()> aReturned)
{
  if (aTurns == 0) {
    aReturned();
    return;
  }
  asio::post(traffic_.Context(),
             [this, aTurns, returned = std::move(aReturned)]() mutable {
               PassThroughQueue(aTurns - 1, std::move(returned));
             });
}

}
