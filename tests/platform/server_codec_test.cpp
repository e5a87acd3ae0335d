#include <gtest/gtest.h>

#include "platform/server_codec.h"

// Notices of a backend server, and the agent's calls to it.
namespace greengage::platform {
namespace {

using namespace coordination;
using state::RunKey;
using transport::HttpRequest;
using transport::HttpResponse;

RunKey
ExampleRun()
{
  return { { 0x5c0e7a21d94b36f8, 1, 17 }, 2 };
}

HttpRequest
Heartbeat(std::string aBody)
{
  return { "POST", "/-/instances/i-7f3a/heartbeat", std::move(aBody), {}, 1 };
}

// Guards against a wrongly decoded capacity or state of a server.
TEST(ServerCodecTest, ReadsAnAnnouncement)
{
  auto notice = DecodeNotice(Heartbeat(
    R"({"service":"s","address":"10.0.0.9:1","state":"draining","seq":4,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":1},
        "labels":["a","r1-3"],"clockMs":482113,"born":1777507529535})"));
  ASSERT_TRUE(notice);
  const auto& announcement = std::get<ServerAnnouncement>(*notice);
  EXPECT_EQ(announcement.description.id, "i-7f3a");
  EXPECT_EQ(announcement.description.capacity,
            (state::ResourceAmount{ 16000, 32768, 1 }));
  EXPECT_TRUE(announcement.draining);
  EXPECT_EQ(announcement.born, 1777507529535u);
  EXPECT_EQ(announcement.sequence, 4u);
}

// Guards against accepting a server from an invalid announcement: fields
// missing, fields of another type, or an unknown state.
TEST(ServerCodecTest, RefusesInvalidAnnouncements)
{
  for (const char* body :
       { "",
         "{}",
         "\xff\xfe",
         R"({"service":"s","state":"ready","seq":4})",
         R"({"service":"s","state":"odd","seq":4,"capacity":{"cpu":1}})",
         R"({"service":7,"state":"ready","capacity":{"cpu":1}})",
         R"({"service":"s","state":"ready","capacity":{"cpu":"1"}})" }) {
    auto notice = DecodeNotice(Heartbeat(body));
    ASSERT_FALSE(notice) << body;
    EXPECT_EQ(notice.error().status, 400u);
  }
  HttpRequest other = Heartbeat("{}");
  other.target = "/elsewhere";
  EXPECT_EQ(DecodeNotice(other).error().status, 404u);
  other.target = "/-/instances/i-7f3a/leave";
  auto leave = DecodeNotice(other);
  ASSERT_TRUE(leave);
  EXPECT_EQ(std::get<daemon::ServerLeave>(*leave).serverId, "i-7f3a");
  EXPECT_EQ(std::get<daemon::ServerLeave>(*leave).born, 0u);
}

// Guards against a late notice of one incarnation that takes a later one, under
// the same ID, out of use.
TEST(ServerCodecTest, ReadsTheIncarnationThatLeaves)
{
  HttpRequest request = Heartbeat(R"({"born":1764903600123})");
  request.target = "/-/instances/i-7f3a/leave";
  auto leave = DecodeNotice(request);
  ASSERT_TRUE(leave);
  EXPECT_EQ(std::get<daemon::ServerLeave>(*leave),
            (daemon::ServerLeave{ "i-7f3a", 1764903600123u }));
}

// Guards against orders that name another task, run or server incarnation.
TEST(ServerCodecTest, WritesOrders)
{
  HttpRequest start = EncodeStart(
    { "i-7f3a", ExampleRun(), "text", 7, std::chrono::milliseconds(486000) });
  EXPECT_EQ(start.target, "/-/run-start");
  EXPECT_EQ(
    start.body,
    R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text","deadlineMs":486000,"fencingToken":7})");
  EXPECT_EQ(transport::FindHeader(start.headers, "X-Expect-Instance"),
            "i-7f3a");
  HttpRequest renew = EncodeRenew({ 1,
                                    7,
                                    57,
                                    std::chrono::milliseconds(486000),
                                    std::chrono::milliseconds(1000) });
  EXPECT_EQ(
    renew.body,
    R"({"fencingToken":7,"lastSeen":57,"deadlineMs":486000,"waitMs":1000})");
}

// Guards against confusing one refusal with another: only some of them allow
// the task to be started on another server at once.
TEST(ServerCodecTest, ReadsAnswersToStarts)
{
  auto answer = [](unsigned aStatus, std::string aBody) {
    HttpResponse response;
    response.status = aStatus;
    response.body = std::move(aBody);
    return DecodeStartAnswer(response);
  };
  EXPECT_EQ(answer(200, "{}"), StartAnswer::eStarted);
  EXPECT_EQ(answer(409, R"({"reason":"room"})"), StartAnswer::eNoFreeCapacity);
  EXPECT_EQ(answer(409, R"({"reason":"fence"})"), StartAnswer::eFenced);
  EXPECT_EQ(answer(409, R"({"reason":"old"})"), StartAnswer::eOutdated);
  EXPECT_EQ(answer(409, R"({"reason":"late"})"), StartAnswer::eLate);
  for (unsigned status : { 400u, 421u, 429u, 503u }) {
    EXPECT_EQ(answer(status, ""), StartAnswer::eRefused);
  }
}

// Guards against starting a task elsewhere after an answer that does not prove
// that the server started nothing.
TEST(ServerCodecTest, UnknownAnswersToStartsAreNoAnswer)
{
  auto answer = [](unsigned aStatus, std::string aBody) {
    HttpResponse response;
    response.status = aStatus;
    response.body = std::move(aBody);
    return DecodeStartAnswer(response);
  };
  for (unsigned status : { 100u, 204u, 302u, 404u, 408u, 500u, 502u, 504u }) {
    EXPECT_EQ(answer(status, "{}"), StartAnswer::eNoAnswer) << status;
  }
  for (const char* body : { "", "{}", R"({"reason":"odd"})", "no object" }) {
    EXPECT_EQ(answer(409, body), StartAnswer::eNoAnswer) << body;
  }
}

// Guards against ends of foreign tasks that are never acknowledged, and against
// a list that is rejected because of a malformed row.
TEST(ServerCodecTest, ReadsRunningAndEndedRuns)
{
  HttpResponse response;
  response.body =
    R"({"clockMs":482113,"born":5,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,0],["odd",1],7],
        "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
                    [59,"5c0e7a21d94b36f8.3.1.9",1,"lapsed",""],
                    [60,"5c0e7a21d94b36f8.0.1.9",2,"failed",""],"odd"]})";
  auto answer = DecodeRenewAnswer(response);
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->running.size(), 1u);
  EXPECT_EQ(answer->running[0], (ListedRun{ ExampleRun(), 41 }));
  ASSERT_EQ(answer->ended.size(), 3u);
  EXPECT_EQ(answer->ended[0].kind, RunEndKind::eDone);
  EXPECT_EQ(answer->ended[1].number, 59u);
  EXPECT_EQ(answer->ended[1].run, RunKey{});
  EXPECT_EQ(answer->ended[2].kind, RunEndKind::eFailed);
  response.body = "no lists";
  EXPECT_FALSE(DecodeRenewAnswer(response));
}

}
}
