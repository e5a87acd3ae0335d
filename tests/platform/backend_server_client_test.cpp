#include "platform/backend_server_client.h"

#include <future>

#include <gtest/gtest.h>

#include "platform/platform_fakes.h"
#include "support/full_backlog.h"
#include "support/reserved_port.h"
#include "transport/endpoint.h"

namespace greengage::platform {
namespace {

using namespace coordination;
using namespace std::chrono_literals;

// Much longer than every timeout of the client under test.
constexpr auto kTestTimeout = 10s;

class BackendServerClientTest : public ::testing::Test
{
protected:
  BackendServerClientTest()
  {
    control_.Start();
    traffic_.Start();
  }

  ~BackendServerClientTest() override
  {
    control_.Stop();
    traffic_.Stop();
  }

  /** Sends a start order and returns its answer. */
  StartAnswer Start(const boost::asio::ip::tcp::endpoint& aServer)
  {
    client_.SetServer(aServer);
    std::promise<StartAnswer> answer;
    client_.MakeHooks().start(
      {}, [&](StartAnswer aAnswer) { answer.set_value(aAnswer); });
    auto future = answer.get_future();
    EXPECT_EQ(future.wait_for(kTestTimeout), std::future_status::ready);
    return future.get();
  }

  /** Sends a renewal and returns its failure. */
  RenewFailure Renew(const boost::asio::ip::tcp::endpoint& aServer)
  {
    client_.SetServer(aServer);
    std::promise<RenewFailure> failure;
    client_.MakeHooks().renew(
      {}, [&](const tl::expected<RenewAnswer, RenewFailure>& aAnswer) {
        failure.set_value(aAnswer ? RenewFailure::eFenced : aAnswer.error());
      });
    auto future = failure.get_future();
    EXPECT_EQ(future.wait_for(kTestTimeout), std::future_status::ready);
    return future.get();
  }

  transport::TrafficPool traffic_{ 1 };
  transport::ControlThread control_;
  BackendServerClient client_{ traffic_, control_, {} };
};

// Guards against an unknown state of a server whose host refuses connections.
TEST_F(BackendServerClientTest, RefusedConnectionIsReported)
{
  testing_support::ReservedPort port;
  auto unused =
    *transport::ParseEndpoint("127.0.0.1:" + std::to_string(port.Number()));
  EXPECT_EQ(Start(unused), StartAnswer::eConnectionRefused);
  EXPECT_EQ(Renew(unused), RenewFailure::eConnectionRefused);
}

// Guards against treating a server as ended, and its tasks as free to run
// elsewhere, because a connection to it took too long.
TEST_F(BackendServerClientTest, ExpiredConnectTimerIsNotARefusal)
{
  testing_support::FullBacklog server;
  EXPECT_EQ(Start(server.Endpoint()), StartAnswer::eNotSent);
  EXPECT_EQ(Renew(server.Endpoint()), RenewFailure::eNotSent);
}

}
}
