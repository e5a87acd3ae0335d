#pragma once

#include <functional>
#include <map>
#include <tuple>

#include <boost/asio/ip/tcp.hpp>

#include "coordination/execution/task_runner.h"
#include "coordination/messages.h"
#include "transport/control_thread.h"
#include "transport/http_client.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/** Capacity that a backend server reports. */
struct BackendCapacity
{
  std::uint32_t slots = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;

  auto operator<=>(const BackendCapacity&) const = default;
};

/**
 * HTTP client of one backend server. Methods are called on the control thread,
 * and callbacks run on it.
 */
class BackendClient
{
public:
  using TaskDone = std::function<void(const coordination::TaskStart&,
                                      coordination::BackendResult)>;
  using CapacityDone = std::function<void(const BackendCapacity&)>;

  BackendClient(transport::TrafficPool& aTraffic,
                transport::ControlThread& aControl,
                const boost::asio::ip::tcp::endpoint& aServer);

  /**
   * Calls aDone once with the capacity of the server; retries until a valid
   * answer arrives.
   */
  void ReadCapacity(CapacityDone aDone);

  /** Runs one task; aDone is called once. */
  void Run(const coordination::TaskStart& aTask, TaskDone aDone);

  /** Aborts the call of a running task; its aDone is still called. */
  void Abort(const state::JobKey& aKey,
             std::uint32_t aTask,
             std::uint32_t aAttempt);

private:
  using AttemptKey = std::tuple<state::JobKey, std::uint32_t, std::uint32_t>;

  transport::ControlThread& control_;
  std::string address_;
  bool unreachableLogged_ = false;
  transport::HttpClient client_;
  std::map<AttemptKey, transport::HttpClient::Abort> running_;
};

}
