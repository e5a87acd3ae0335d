#include "tools/job_explanation.h"

#include <sstream>

#include <gtest/gtest.h>

namespace greengage::tools {
namespace {

using std::chrono::milliseconds;

std::string
Explain(const std::string& aJob, const std::string& aLog)
{
  JobExplanation explanation(aJob);
  std::istringstream lines(aLog);
  for (std::string line; std::getline(lines, line);) {
    if (auto event = ParseLogLine(line)) {
      explanation.Add(*event);
    }
  }
  return explanation.Text();
}

std::string
Entry(const std::string& aSecond, const std::string& aRest)
{
  return "host-1 time=2026-09-03T14:03:" + aSecond +
         "Z level=info event=1 program=entry process=e1e1e1e1 " + aRest + "\n";
}

std::string
Agent(const std::string& aSecond, const std::string& aRest)
{
  return "host-2 time=2026-09-03T14:03:" + aSecond +
         "Z level=info event=1 program=agent process=a1a1a1a1 " + aRest + "\n";
}

std::string
JobEnded(const std::string& aSecond,
         const std::string& aJob,
         const std::string& aRest)
{
  return Entry(aSecond,
               "name=job_ended job=" + aJob + " queue=q configuration=6 " +
                 "waiting_jobs=5 servers=7 " + aRest);
}

// Guards against wrong parsing of the time, prefix or quoted values of a line.
TEST(LogLineTest, ReadsLinesOfTheEventLog)
{
  auto line = ParseLogLine(
    "   2.86 edge-1 time=2026-09-03T14:03:27.867Z level=info event=1603 "
    "name=run_decision program=agent process=ab job=7 reason=\"a \\\"b\\\" c\" "
    "runs=7");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->source, "   2.86 edge-1");
  EXPECT_EQ(line->name, "run_decision");
  EXPECT_EQ(line->Field("reason"), "a \"b\" c");
  EXPECT_EQ(line->Number("runs"), 7);
  EXPECT_EQ(line->time.count() % 1000, 867);
  EXPECT_EQ(line->time.count() / 1000, 1788444207);
  EXPECT_FALSE(ParseLogLine("Starting up"));
  EXPECT_FALSE(ParseLogLine("time=yesterday name=x"));
}

// Guards against an explanation of a rejection that does not name the
// unavailable servers.
TEST(JobExplanationTest, RejectedForLoad)
{
  std::string text = Explain(
    "ae83",
    Agent("04.000", "name=server_condition condition=ready server=i-1") +
      Agent("04.100",
            "name=server_condition condition=draining server=i-1 "
            "reason=announced") +
      JobEnded("04.973",
               "ae83",
               "result=rejected reason=overload tasks=2 done=0 runs=0 "
               "waited_ms=259 total_ms=259 objective_ms=381 work_ms=201"));
  EXPECT_NE(text.find("no server had free capacity for it in the 259 ms"),
            std::string::npos)
    << text;
  EXPECT_NE(text.find("agent a1a1a1: server draining since 873 ms (announced)"),
            std::string::npos)
    << text;
}

// Guards against an explanation that names a lack of free capacity in the few
// milliseconds until a forecast rejected the job.
TEST(JobExplanationTest, NamesTheForecastThatRejectedTheJob)
{
  std::string text = Explain(
    "a",
    Entry("20.280",
          "name=admission_rejected job=a queue=q forecast_ms=412 left_ms=160 "
          "waited_ms=0 ahead_core_ms=9000 own_core_ms=400 cores=24.0 "
          "urgent_cores=2.0 correction=1.10 retry_ms=2000") +
      JobEnded("20.281",
               "a",
               "result=rejected reason=overload tasks=2 done=0 runs=0 "
               "waited_ms=0 total_ms=0 objective_ms=381 work_ms=201"));
  EXPECT_NE(text.find("it was rejected by a forecast after 0 ms: 9000 core ms "
                      "of work went first, 24.0 cores"),
            std::string::npos)
    << text;
  EXPECT_NE(text.find("expected to start in 412 ms and had to start within "
                      "160 ms"),
            std::string::npos)
    << text;
}

std::string
RunStopped(const std::string& aSecond, const std::string& aJob)
{
  return Entry(aSecond,
               "name=run_ended job=" + aJob +
                 " step=0 task=1 run=1 agent=a1a1a1a1 kind=stopped ran_ms=817");
}

std::string
JobEndedTooLate(const std::string& aJob)
{
  return JobEnded("20.281",
                  aJob,
                  "result=failed reason=too_late tasks=3 done=2 runs=8 "
                  "waited_ms=0 total_ms=1247 objective_ms=477 work_ms=261");
}

// Guards against reporting a hanging server as a long task, or a long task as a
// hanging server.
TEST(JobExplanationTest, FailedAfterItsServerHung)
{
  std::string jobLines = RunStopped("19.853", "5759") + JobEndedTooLate("5759");
  std::string text = Explain("5759", jobLines);
  EXPECT_NE(text.find("2 of 3 tasks were done"), std::string::npos) << text;
  EXPECT_NE(text.find("its work was underestimated"), std::string::npos)
    << text;
  text = Explain("5759",
                 RunStopped("19.700", "1111") + RunStopped("19.800", "2222") +
                   jobLines);
  EXPECT_NE(text.find("2 other jobs had runs stopped there"), std::string::npos)
    << text;
  EXPECT_NE(text.find("hang or are slow"), std::string::npos) << text;
}

// Guards against blaming the servers for a delay that a paused entry caused.
TEST(JobExplanationTest, AnsweredLateBecauseAnEntryWasPaused)
{
  std::string text = Explain(
    "0367",
    Entry("17.498",
          "name=tasks_placed job=0367 step=0 tasks=1 agent=a1a1a1a1") +
      JobEnded("20.507",
               "0367",
               "result=failed reason=too_late tasks=1 done=0 runs=1 "
               "waited_ms=0 total_ms=3009 objective_ms=454 work_ms=246") +
      Entry("20.508", "name=process_paused length_ms=3002"));
  EXPECT_NE(text.find("did not run for 3002 ms"), std::string::npos) << text;
}

// Guards against an explanation that treats an unknown job or a refused request
// as a failure of the system.
TEST(JobExplanationTest, UnknownAndRefused)
{
  EXPECT_NE(Explain("77", JobEnded("01.000", "78", "result=completed"))
              .find("no log line refers to it"),
            std::string::npos);
  std::string text =
    Explain("77",
            Entry("01.000",
                  "name=request_refused host=\"a\" path=\"/q/77\" "
                  "result=unknown_queue reason=none configuration=3"));
  EXPECT_NE(text.find("configuration 3 has no queue"), std::string::npos)
    << text;
}

// Guards against an explanation of a failed task that does not name the agent.
TEST(JobExplanationTest, AttemptsUsed)
{
  std::string text =
    Explain("77",
            Entry("01.000",
                  "name=run_ended job=77 step=0 task=4 run=2 agent=a1a1a1a1 "
                  "kind=failed ran_ms=31") +
              JobEnded("01.001", "77", "result=failed reason=attempts_used"));
  EXPECT_NE(text.find("task 4 run 2 failed on agent a1a1a1 after 31 ms"),
            std::string::npos)
    << text;
}

}
}
