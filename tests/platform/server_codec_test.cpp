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

// Guards against an announcement of another writer that replaces the server of
// the agent, or whose numbers are so high that all later ones are ignored.
TEST(ServerCodecTest, RefusesAnnouncementsOfOtherWriters)
{
  const std::string good =
    R"({"service":"s","address":"10.0.0.9:1","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","coldLeftMs":0.5,"seq":4,"born":7,)"
    R"("clockMs":9,"labels":["a"],"capacity":{"cpu":1}})";
  ASSERT_TRUE(DecodeNotice(Heartbeat(good)));
  for (auto [from, to] :
       { std::pair{ R"("service":"s",)", "" },
         std::pair{ R"("service":"s")", R"("service":"")" },
         std::pair{ R"("seq":4)", R"("seq":18446744073709551615)" },
         std::pair{ R"("seq":4)", R"("seq":9223372036854775808)" },
         std::pair{ R"("born":7)", R"("born":18446744073709551615)" },
         std::pair{ R"("clockMs":9)", R"("clockMs":1e400)" },
         std::pair{ R"("slots":8)", R"("slots":"eight")" },
         std::pair{ R"("slots":8)", R"("slots":-1)" },
         std::pair{ R"("version":"v1")", R"("version":1)" },
         std::pair{ R"("labels":["a"])", R"("labels":["a",7])" },
         std::pair{ R"("10.0.0.9:1")", R"("10.0.0.9:65536")" },
         std::pair{ R"("10.0.0.9:1")", R"("10.0.0.9:99999999999")" },
         std::pair{ R"("10.0.0.9:1")", R"("10.0.0.9:-1")" },
         std::pair{ R"("10.0.0.9:1")", R"("10.0.0.9:0")" },
         std::pair{ R"("10.0.0.9:1")", R"("10.0.0.9")" } }) {
    std::string body = good;
    body.replace(body.find(from), std::string(from).size(), to);
    EXPECT_FALSE(DecodeNotice(Heartbeat(body))) << body;
  }
  for (const std::string& id :
       { std::string(), std::string("a/b"), std::string(1000, 'i') }) {
    HttpRequest request = Heartbeat(good);
    request.target = "/-/instances/" + id + "/heartbeat";
    EXPECT_FALSE(DecodeNotice(request)) << id;
  }
}

// Guards against labels that make every report of the agent larger than a peer
// accepts, which closes the connection again and again.
TEST(ServerCodecTest, RefusesAnnouncementsWithTooManyLabels)
{
  auto withLabels = [](std::size_t aCount, std::size_t aBytes) {
    std::string labels;
    for (std::size_t i = 0; i < aCount; ++i) {
      labels += (i == 0 ? "\"" : ",\"") + std::string(aBytes, 'l') + "\"";
    }
    return R"({"service":"s","state":"ready","capacity":{"cpu":1},"labels":[)" +
           labels + "]}";
  };
  EXPECT_TRUE(DecodeNotice(Heartbeat(withLabels(64, 100))));
  EXPECT_FALSE(DecodeNotice(Heartbeat(withLabels(100'000, 10))));
  EXPECT_FALSE(DecodeNotice(Heartbeat(withLabels(1, 1'000'000))));
}

// Guards against a list that cannot be read and counts as empty, which reports
// all runs as lost.
TEST(ServerCodecTest, RefusesListsThatCannotBeRead)
{
  for (const char* body : { R"({"clockMs":9,"running":7,"finished":[]})",
                            R"({"clockMs":9,"running":{},"finished":[]})",
                            R"({"clockMs":9,"running":[],"finished":"none"})",
                            R"({"clockMs":"x","running":[],"finished":[]})",
                            R"({"clockMs":1e400,"running":[],"finished":[]})",
                            R"({"clockMs":9,"born":-1,"running":[]})" }) {
    HttpResponse response;
    response.body = body;
    auto answer = DecodeRenewAnswer(response);
    ASSERT_FALSE(answer) << body;
    EXPECT_EQ(answer.error(), RenewFailure::eNoAnswer) << body;
  }
}

// Guards against an end whose number is so high that the server forgets all
// later ends before the agent has seen them.
TEST(ServerCodecTest, IgnoresEndsWithNumbersOutOfRange)
{
  HttpResponse response;
  response.body =
    R"({"clockMs":9,"finished":[
        [18446744073709551615,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
        [9223372036854775808,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
        [1e400,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
        [7,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
  auto answer = DecodeRenewAnswer(response);
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->ended.size(), 1u);
  EXPECT_EQ(answer->ended[0].number, 7u);
}

// Guards against a run that counts as hung, and is moved, because its progress
// cannot be read.
TEST(ServerCodecTest, OddProgressIsNotAHang)
{
  auto percent = [](const std::string& aText) {
    HttpResponse response;
    response.body =
      R"({"clockMs":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",)" + aText +
      "]]}";
    auto answer = DecodeRenewAnswer(response);
    return answer && answer->running.size() == 1 ? answer->running[0].percent
                                                 : 12'345;
  };
  EXPECT_EQ(percent("41"), 41u);
  EXPECT_EQ(percent("41.5"), 41u);
  EXPECT_EQ(percent("0"), 0u);
  for (const char* odd :
       { "4294967296", "4294967295", "1e400", R"("41")", "null", "[]" }) {
    EXPECT_EQ(percent(odd), 100u) << odd;
  }
}

}
}
