#pragma once

#include <functional>

#include <boost/asio/ip/tcp.hpp>

#include "coordination/configuration/configuration_record.h"
#include "transport/control_thread.h"
#include "transport/http_client.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/**
 * HTTP client of the platform's log (docs/protocols/log.md). Methods are called
 * on the control thread, and callbacks run on it.
 */
class LogClient
{
public:
  /** The page is empty if the read failed. */
  using ReadDone = std::function<void(std::optional<coordination::LogPage>)>;
  using AppendDone = std::function<void(coordination::AppendStatus)>;

  LogClient(transport::TrafficPool& aTraffic,
            transport::ControlThread& aControl,
            const boost::asio::ip::tcp::endpoint& aServer);

  void Read(std::uint64_t aFrom, std::uint32_t aLimit, ReadDone aDone);

  /** Appends at the expected offset; does not append at any other offset. */
  void Append(std::uint64_t aExpectedOffset,
              std::string aData,
              AppendDone aDone);

private:
  transport::ControlThread& control_;
  transport::HttpClient client_;
};

}
