#include "transport/http_server.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "support/raw_client.h"

namespace greengage::transport {
namespace {

using namespace std::chrono_literals;
using testing::AllOf;
using testing::HasSubstr;
using testing::StartsWith;
using testing_support::CountOccurrences;
using testing_support::RawClient;

// Much longer than every timeout of the server under test.
constexpr auto kTimeout = 10s;

constexpr HttpServerLimits kLimits{ .maxHeaderBytes = 1024,
                                    .maxBodyBytes = 4096,
                                    .headerTimeout = 200ms,
                                    .bodyTimeout = 200ms,
                                    .idleTimeout = 300ms,
                                    .maxConnections = 3 };

/**
 * Answers every request with its method, target and body size; requests to
 * /hold wait for Release().
 */
class HttpServerTest : public testing::Test
{
protected:
  HttpServerTest()
  {
    endpoint_ =
      *server_.Start({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    traffic_.Start();
  }

  ~HttpServerTest() override
  {
    EXPECT_TRUE(WaitForConnections(0));
    EXPECT_EQ(server_.RequestsInProgress(), 0u);
    traffic_.Stop();
  }

  bool WaitForConnections(std::size_t aCount)
  {
    return WaitUntil([&] { return server_.OpenConnections() == aCount; });
  }

  bool WaitForRequests(std::size_t aCount)
  {
    return WaitUntil([&] { return server_.RequestsInProgress() == aCount; });
  }

  static bool WaitUntil(const std::function<bool()>& aCondition)
  {
    auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(1ms);
    }
    return true;
  }

  /** Sends aText and returns all that the server sends until it closes. */
  std::string Exchange(const std::string& aText)
  {
    RawClient client(endpoint_);
    client.Send(aText);
    std::string answer = client.ReadAll(kTimeout);
    EXPECT_TRUE(client.IsClosed());
    return answer;
  }

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (aRequest.target == "/hold") {
      std::lock_guard lock(mutex_);
      held_.push_back(aRespond);
      return;
    }
    aRespond({ 200,
               aRequest.method + " " + aRequest.target + " " +
                 std::to_string(aRequest.body.size()) });
  }

  /** Answers the requests to /hold. */
  void Release()
  {
    // RequestsInProgress() is incremented shortly before the handler runs.
    ASSERT_TRUE(WaitUntil([&] {
      std::lock_guard lock(mutex_);
      return held_.size() == server_.RequestsInProgress();
    }));
    for (const HttpResponder& respond : std::exchange(held_, {})) {
      respond({ 200, "held" });
    }
  }

  void ExpectStillServing()
  {
    EXPECT_THAT(Exchange("GET /ok HTTP/1.0\r\n\r\n"),
                AllOf(StartsWith("HTTP/1.0 200 "), HasSubstr("GET /ok 0")));
  }

  TrafficPool traffic_{ 2 };
  HttpServer server_{ traffic_,
                      [this](HttpRequest aRequest, HttpResponder aRespond) {
                        Handle(aRequest, aRespond);
                      },
                      kLimits };
  boost::asio::ip::tcp::endpoint endpoint_;
  std::mutex mutex_;
  std::vector<HttpResponder> held_;
};

struct BadRequestCase
{
  const char* name;
  std::string text;
  const char* status;
  const char* message;
};

class HttpServerBadRequestTest
  : public HttpServerTest
  , public testing::WithParamInterface<BadRequestCase>
{};

// Guards against requests that get no answer, get an answer without the
// documented JSON form, or impair later requests.
TEST_P(HttpServerBadRequestTest, IsAnsweredWithAnError)
{
  const BadRequestCase& request = GetParam();
  std::string answer = Exchange(request.text);
  EXPECT_THAT(answer, StartsWith(std::string("HTTP/1.1 ") + request.status));
  EXPECT_THAT(answer,
              AllOf(HasSubstr("Connection: close"),
                    HasSubstr("\r\n\r\n{\"status\":\"failed\",\"run\":"
                              "\"not_run\",\"code\":\"bad_request\""),
                    HasSubstr(request.message)));
  ExpectStillServing();
}

INSTANTIATE_TEST_SUITE_P(
  All,
  HttpServerBadRequestTest,
  testing::Values(
    BadRequestCase{ "RequestLine", "nonsense\r\n\r\n", "400", "malformed" },
    BadRequestCase{ "BinaryBytes", "\x16\x03\x01\r\n\r\n", "400", "malformed" },
    BadRequestCase{ "Version", "GET / HTTP/9.9\r\n\r\n", "400", "malformed" },
    BadRequestCase{ "ContentLength",
                    "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                    "400",
                    "malformed" },
    BadRequestCase{ "LargeHeader",
                    "GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n",
                    "431",
                    "header is too large" },
    BadRequestCase{ "LargeBody",
                    "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
                      std::string(5000, 'a'),
                    "413",
                    "body is too large" },
    BadRequestCase{
      "LargeChunkedBody",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" +
        std::string(5000, 'a') + "\r\n0\r\n\r\n",
      "413",
      "body is too large" },
    BadRequestCase{ "SlowHeader", "GET / HTTP/1.1\r\nA: b", "408", "too long" },
    BadRequestCase{ "SlowBody",
                    "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
                    "408",
                    "too long" }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against an answer that is lost because the connection is reset while
// the client still sends a body above the limit.
TEST_F(HttpServerTest, AnswersAClientThatKeepsSending)
{
  std::string answer =
    Exchange("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" +
             std::string(4'000'000, 'a'));
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 413 "));
}

// Guards against treating a half-closed connection as an aborted one.
TEST_F(HttpServerTest, AnswersAfterHalfClose)
{
  RawClient whole(endpoint_);
  whole.Send("GET /a HTTP/1.1\r\n\r\n");
  whole.HalfClose();
  EXPECT_THAT(whole.ReadAll(kTimeout), HasSubstr("GET /a 0"));
  RawClient partial(endpoint_);
  partial.Send("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  partial.HalfClose();
  EXPECT_THAT(partial.ReadAll(kTimeout),
              AllOf(StartsWith("HTTP/1.1 400 "), HasSubstr("too early")));
}

// Guards against lost or reordered answers to pipelined requests.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\n\r\n";
  }
  std::string answer = Exchange(requests);
  EXPECT_EQ(CountOccurrences(answer, "HTTP/1.1 200 OK"), 20u);
  std::size_t last = 0;
  for (int i = 0; i < 20; ++i) {
    std::size_t at = answer.find("GET /" + std::to_string(i) + " 0", last);
    ASSERT_NE(at, std::string::npos) << i;
    last = at;
  }
}

// Guards against idle connections that are never closed, and against an idle
// timeout that interrupts a request.
TEST_F(HttpServerTest, ClosesIdleConnectionsWithoutAnAnswer)
{
  EXPECT_EQ(Exchange(""), "");
  EXPECT_EQ(CountOccurrences(Exchange("GET /a HTTP/1.1\r\n\r\n"), "HTTP/1.1"),
            1u);
}

// Guards against a client such as curl that waits for this response before it
// sends a body.
TEST_F(HttpServerTest, SendsContinueBeforeTheBody)
{
  RawClient client(endpoint_);
  client.Send("POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
              "Content-Length: 3\r\n\r\n");
  EXPECT_THAT(client.ReadUntil("\r\n\r\n", 1, kTimeout),
              StartsWith("HTTP/1.1 100 Continue\r\n"));
  client.Send("abc");
  EXPECT_THAT(client.ReadUntil("POST /a 3", 1, kTimeout),
              HasSubstr("HTTP/1.1 200 OK"));
}

// Guards against connections without a request that keep ordinary callers out.
TEST_F(HttpServerTest, ReplacesQuietConnectionsAtTheLimit)
{
  std::vector<std::unique_ptr<RawClient>> quiet;
  for (std::size_t i = 0; i < kLimits.maxConnections; ++i) {
    quiet.push_back(std::make_unique<RawClient>(endpoint_));
    quiet.back()->Send("GET /slow HTTP/1.1\r\n");
  }
  ASSERT_TRUE(WaitForConnections(kLimits.maxConnections));
  RawClient client(endpoint_);
  client.Send("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(client.ReadAll(kTimeout), StartsWith("HTTP/1.1 200 OK"));
}

// Guards against a body in the answer to HEAD: the client would read it as the
// next answer.
TEST_F(HttpServerTest, SendsNoBodyForHead)
{
  EXPECT_THAT(Exchange("HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n"),
              testing::EndsWith("\r\n\r\n"));
}

// Guards against a hang or a connection reset for clients above the limit.
TEST_F(HttpServerTest, RefusesConnectionsAboveTheLimit)
{
  std::vector<std::unique_ptr<RawClient>> open;
  for (std::size_t i = 1; i <= kLimits.maxConnections; ++i) {
    open.push_back(std::make_unique<RawClient>(endpoint_));
    open.back()->Send("GET /hold HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(WaitForRequests(i));
  }
  std::string answer = Exchange("GET /b HTTP/1.1\r\n\r\n");
  EXPECT_THAT(answer,
              AllOf(StartsWith("HTTP/1.1 503 "),
                    HasSubstr("\"run\":\"not_run\",\"code\":\"busy\"")));
  Release();
  for (auto& client : open) {
    EXPECT_THAT(client->ReadAll(kTimeout), HasSubstr("held"));
  }
  ASSERT_TRUE(WaitForConnections(0));
  ExpectStillServing();
}

// Guards against requests in progress that are aborted when the server stops
// accepting connections.
TEST_F(HttpServerTest, FinishesRequestsAfterStopAccepting)
{
  RawClient client(endpoint_);
  client.Send("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  server_.StopAccepting();
  Release();
  EXPECT_THAT(client.ReadAll(kTimeout),
              AllOf(HasSubstr("held"), HasSubstr("Connection: close")));
}

/** A server that reports disconnected peers; its threads start on demand. */
class HttpServerAbandonTest : public testing::Test
{
protected:
  HttpServerAbandonTest()
  {
    endpoint_ =
      *server_.Start({ boost::asio::ip::make_address("127.0.0.1"), 0 });
  }

  ~HttpServerAbandonTest() override { traffic_.Stop(); }

  bool WaitForIdle()
  {
    auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (server_.OpenConnections() > 0 ||
           server_.DroppedRequests() + handled_ == 0) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(1ms);
    }
    return true;
  }

  TrafficPool traffic_{ 1 };
  std::atomic<unsigned> handled_{ 0 };
  std::atomic<std::chrono::steady_clock::time_point> readAt_{};
  HttpServer server_{ traffic_,
                      [this](HttpRequest aRequest, HttpResponder aRespond) {
                        readAt_ = aRequest.readAt;
                        ++handled_;
                        aRespond({ 200, "done" });
                      },
                      kLimits,
                      [](std::uint64_t) {} };
  boost::asio::ip::tcp::endpoint endpoint_;
};

// Guards against starting work for a caller that closed its connection while
// this process stood still: the caller submits the work again elsewhere.
TEST_F(HttpServerAbandonTest, DropsARequestWhosePeerHasClosed)
{
  {
    RawClient client(endpoint_);
    client.Send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
  }
  traffic_.Start();
  ASSERT_TRUE(WaitForIdle());
  EXPECT_EQ(handled_, 0u);
  EXPECT_EQ(server_.DroppedRequests(), 1u);
}

// Guards against a reset that is not seen because bytes of another request lie
// before it.
TEST_F(HttpServerAbandonTest, DropsARequestWhosePeerHasResetAfterMoreBytes)
{
  namespace asio = boost::asio;
  // More than the server reads with the request, so that some bytes remain in
  // the socket.
  constexpr std::size_t kUnreadBytes = 10'000;
  {
    asio::io_context context;
    asio::ip::tcp::socket client(context);
    client.connect(endpoint_);
    std::string text = "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na";
    text.append(kUnreadBytes, ' ');
    asio::write(client, asio::buffer(text));
    // Closing without lingering resets the connection.
    client.set_option(asio::socket_base::linger(true, 0));
    client.close();
  }
  traffic_.Start();
  ASSERT_TRUE(WaitForIdle());
  EXPECT_EQ(handled_, 0u);
}

// Guards against dropping requests of callers that wait, and against requests
// whose age cannot be determined.
TEST_F(HttpServerAbandonTest, HandlesARequestOfAnOpenConnection)
{
  RawClient client(endpoint_);
  client.Send("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  auto before = std::chrono::steady_clock::now();
  traffic_.Start();
  EXPECT_THAT(client.ReadAll(kTimeout), HasSubstr("done"));
  EXPECT_EQ(handled_, 1u);
  EXPECT_EQ(server_.DroppedRequests(), 0u);
  EXPECT_GE(readAt_.load(), before);
  EXPECT_LE(readAt_.load(), std::chrono::steady_clock::now());
}

}
}
