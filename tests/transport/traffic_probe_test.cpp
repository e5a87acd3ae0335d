#include "transport/traffic_probe.h"

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "transport/http_server.h"

namespace greengage::transport {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kTimeout = 10s;
/** A poll reports 128 sockets, so several polls are needed for all. */
constexpr std::size_t kCallers = 450;

/** A server whose requests are never answered, and their callers. */
class TrafficProbeTest : public testing::Test
{
protected:
  TrafficProbeTest()
  {
    endpoint_ = *server_.Start({ asio::ip::make_address("127.0.0.1"), 0 });
    traffic_.Start();
  }

  ~TrafficProbeTest() override { traffic_.Stop(); }

  void ConnectCallers()
  {
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers_.emplace_back(context_);
      callers_.back().connect(endpoint_);
      asio::write(callers_.back(),
                  asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")));
    }
    auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (server_.RequestsInProgress() < kCallers &&
           std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(1ms);
    }
    ASSERT_EQ(server_.RequestsInProgress(), kCallers);
  }

  void ResetCallers()
  {
    for (auto& caller : callers_) {
      // Closing without lingering resets the connection.
      caller.set_option(asio::socket_base::linger(true, 0));
      caller.close();
    }
  }

  TrafficPool traffic_{ 1 };
  TrafficProbe probe_{ traffic_ };
  std::mutex mutex_;
  std::vector<HttpResponder> held_;
  std::atomic<std::size_t> abandoned_{ 0 };
  HttpServer server_{ traffic_,
                      [this](const HttpRequest&, HttpResponder aRespond) {
                        std::lock_guard lock(mutex_);
                        held_.push_back(std::move(aRespond));
                      },
                      {},
                      [this](std::uint64_t) { ++abandoned_; } };
  asio::ip::tcp::endpoint endpoint_;
  asio::io_context context_;
  std::vector<asio::ip::tcp::socket> callers_;
};

// Guards against an entry that counts as up to date while it has not handled
// some of several hundred callers that were reset at the same moment: it would
// place the tasks of callers that are gone.
TEST_F(TrafficProbeTest, ReturnsAfterAllCallersThatWereResetBefore)
{
  ConnectCallers();
  std::promise<void> isBlocked;
  std::promise<void> areReset;
  asio::post(traffic_.Context(), [&] {
    isBlocked.set_value();
    areReset.get_future().wait();
  });
  isBlocked.get_future().wait();
  ResetCallers();
  std::promise<std::size_t> returned;
  probe_.Send([&] { returned.set_value(abandoned_); });
  areReset.set_value();
  auto result = returned.get_future();
  ASSERT_EQ(result.wait_for(kTimeout), std::future_status::ready);
  EXPECT_EQ(result.get(), kCallers);
}

// Guards against a probe that returns only once: an entry sends one each 50 ms.
TEST_F(TrafficProbeTest, CanBeSentAgain)
{
  for (int i = 0; i < 3; ++i) {
    std::promise<void> returned;
    probe_.Send([&] { returned.set_value(); });
    ASSERT_EQ(returned.get_future().wait_for(kTimeout),
              std::future_status::ready)
      << i;
  }
}

}
}
