#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "transport/http_server.h"

namespace greengage::transport {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

// Much longer than any wait of the server under test.
constexpr auto kTimeout = 10s;

/** A server that holds its requests and records those that are abandoned. */
class ConnectionEndTest : public testing::Test
{
protected:
  ConnectionEndTest()
  {
    endpoint_ = *server_.Start({ asio::ip::make_address("127.0.0.1"), 0 });
    traffic_.Start();
    client_.connect(endpoint_);
  }

  ~ConnectionEndTest() override
  {
    boost::system::error_code ignored;
    client_.close(ignored);
    held_.clear();
    traffic_.Stop();
  }

  void Send(const std::string& aText)
  {
    asio::write(client_, asio::buffer(aText));
  }

  /** Sends a request and waits until it is handled. */
  void SendHeldRequest()
  {
    Send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
    std::unique_lock lock(mutex_);
    ASSERT_TRUE(
      changed_.wait_for(lock, kTimeout, [this] { return !held_.empty(); }));
  }

  void Reset()
  {
    client_.set_option(asio::socket_base::linger(true, 0));
    client_.close();
  }

  bool AwaitAbandoned()
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(
      lock, kTimeout, [this] { return abandoned_.contains(1); });
  }

  std::size_t AbandonedCount()
  {
    std::lock_guard lock(mutex_);
    return abandoned_.size();
  }

  void Handle(HttpResponder aRespond)
  {
    std::lock_guard lock(mutex_);
    held_.push_back(std::move(aRespond));
    changed_.notify_all();
  }

  void OnAbandoned(std::uint64_t aRequest)
  {
    std::lock_guard lock(mutex_);
    abandoned_.insert(aRequest);
    changed_.notify_all();
  }

  static constexpr ConnectionLimits kLimits{ .connectionBytes = 256 * 1024 };

  TrafficPool traffic_{ 1, kLimits };
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<HttpResponder> held_;
  std::set<std::uint64_t> abandoned_;
  HttpServer server_{ traffic_,
                      [this](const HttpRequest&, HttpResponder aRespond) {
                        Handle(std::move(aRespond));
                      },
                      {},
                      [this](std::uint64_t aRequest) {
                        OnAbandoned(aRequest);
                      } };
  asio::ip::tcp::endpoint endpoint_;
  asio::io_context context_;
  asio::ip::tcp::socket client_{ context_ };
};

enum class End
{
  eReset,
  eFinish,
  eBoth,
};

struct EndCase
{
  const char* name;
  std::string unread;
  End end;
};

/** Without it, GoogleTest prints the bytes of the value. */
void
PrintTo(const EndCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name;
}

std::vector<EndCase>
EndCases()
{
  const std::string request = "GET /b HTTP/1.1\r\n\r\n";
  std::string requests;
  for (int i = 0; i < 16; ++i) {
    requests += request;
  }
  const std::string cut = "POST /b HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                          std::string(50'000, 'a');
  return {
    { "ResetBehindOneRequest", request, End::eReset },
    { "FinishBehindOneRequest", request, End::eFinish },
    { "BothBehindOneRequest", request, End::eBoth },
    { "ResetBehindManyRequests", requests, End::eReset },
    { "FinishBehindManyRequests", requests, End::eFinish },
    { "BothBehindManyRequests", requests, End::eBoth },
    { "ResetBehindPartOfABody", cut, End::eReset },
    { "FinishBehindPartOfABody", cut, End::eFinish },
    { "BothBehindPartOfABody", cut, End::eBoth },
  };
}

class ConnectionEndCaseTest
  : public ConnectionEndTest
  , public testing::WithParamInterface<EndCase>
{};

// Guards against work that goes on for a caller whose connection has ended,
// beside the same work of the caller's next attempt: the end was not seen
// behind bytes of a later request.
TEST_P(ConnectionEndCaseTest, AbandonsTheRequest)
{
  SendHeldRequest();
  Send(GetParam().unread);
  // The server has time to see the bytes before the end.
  std::this_thread::sleep_for(100ms);
  EXPECT_EQ(AbandonedCount(), 0u);
  if (GetParam().end != End::eReset) {
    client_.shutdown(asio::ip::tcp::socket::shutdown_send);
  }
  if (GetParam().end != End::eFinish) {
    Reset();
  }
  EXPECT_TRUE(AwaitAbandoned());
  EXPECT_EQ(AbandonedCount(), 1u);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ConnectionEndCaseTest,
                         testing::ValuesIn(EndCases()),
                         [](const auto& aInfo) { return aInfo.param.name; });

// Guards against a caller that hides the end of its connection by sending
// without end, or fills the memory with it.
TEST_F(ConnectionEndTest, DisconnectsACallerThatSendsWithoutEnd)
{
  SendHeldRequest();
  const std::string part(64 * 1024, ' ');
  client_.non_blocking(true);
  auto deadline = std::chrono::steady_clock::now() + kTimeout;
  boost::system::error_code error;
  while (std::chrono::steady_clock::now() < deadline &&
         (!error || error == asio::error::would_block)) {
    client_.write_some(asio::buffer(part), error);
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_TRUE(error && error != asio::error::would_block) << error.message();
  EXPECT_TRUE(AwaitAbandoned());
}

// Guards against a connection that is closed although its caller stays within
// the limit: it sends its next request, with a large body, early.
TEST_F(ConnectionEndTest, KeepsACallerThatSendsItsNextRequestEarly)
{
  SendHeldRequest();
  Send("POST /b HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
       std::string(200'000, 'a'));
  std::this_thread::sleep_for(100ms);
  EXPECT_EQ(AbandonedCount(), 0u);
  std::unique_lock lock(mutex_);
  held_.front()({ 200, "done" });
  EXPECT_TRUE(
    changed_.wait_for(lock, kTimeout, [this] { return held_.size() == 2; }));
  EXPECT_TRUE(abandoned_.empty());
}

}
}
