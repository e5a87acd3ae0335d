#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <tl/expected.hpp>

#include "transport/http_server.h"
#include "transport/traffic_pool.h"
#include "transport/transport_error.h"

namespace greengage::transport {

/**
 * HTTP/1.1 client for one server address. Connections are kept alive and
 * reused. A request is sent at most once; the client never retries it.
 */
class HttpClient
{
public:
  /** Time limits of one request. */
  struct TimeLimits
  {
    template<class Rep, class Period>
    TimeLimits(std::chrono::duration<Rep, Period> aTotal,
               std::chrono::milliseconds aProgress = {})
      : total(aTotal)
      , progress(aProgress)
    {
    }

    /** Limit of the whole request, unless progress is set. */
    std::chrono::milliseconds total;
    /**
     * If not zero, total limits only the time until the first bytes of the
     * response, and this the time between later ones. A large response on a
     * slow link is then not mistaken for a server that does not answer.
     */
    std::chrono::milliseconds progress;
  };

  using Result = tl::expected<HttpResponse, TransportError>;
  /** Called once per request, in a traffic thread. */
  using Handler = std::function<void(Result)>;
  /**
   * Aborts a request that has not completed. Its handler is then called with
   * eAborted, or with eNotConnected if the connection was not open yet (with
   * eConnectionRefused if it was refused before the abort took effect).
   */
  using Abort = std::function<void()>;

  HttpClient(TrafficPool& aTraffic,
             const boost::asio::ip::tcp::endpoint& aServer);
  ~HttpClient();

  /**
   * Sets the address of later requests. Must not be called concurrently with
   * Send().
   */
  void SetServer(const boost::asio::ip::tcp::endpoint& aServer);

  /**
   * Sends a request. On failure, the kind of the error states whether the
   * server may have received the request.
   */
  Abort Send(HttpRequest aRequest, TimeLimits aLimits, Handler aHandler);

private:
  struct Pool;

  TrafficPool& traffic_;
  std::shared_ptr<Pool> pool_;
};

}
