#include "tools/job_explanation.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace greengage::tools {

using std::chrono::milliseconds;

namespace {

/** Names of events of processes and servers that may affect jobs. */
constexpr std::array<std::string_view, 5> kFleetEvents{ "server_condition",
                                                        "process_started",
                                                        "process_stopping",
                                                        "process_paused",
                                                        "peer_lost" };
/** A fleet event at most this long before the end of a job may be its cause. */
constexpr milliseconds kFleetEventWindow{ 5000 };
/** A process may answer jobs before it detects that it was paused. */
constexpr milliseconds kPauseDetectionDelay{ 50 };
/** Other jobs with a run stopped by an agent that make its server suspect. */
constexpr std::size_t kMinOtherStoppedJobs = 2;
/** Fields that identify the writer of a line or are part of every line. */
constexpr std::array<std::string_view, 7> kCommonFields{
  "time", "level", "event", "name", "program", "process", "job"
};

bool
IsAny(std::string_view aName, const auto& aNames)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::string
FormatEvent(const LogLine& aLine, milliseconds aStart)
{
  std::string text = fmt::format("{:>+7} ms  {:<5} {:.6}  {:<14}",
                                 (aLine.time - aStart).count(),
                                 aLine.Field("program"),
                                 aLine.Field("process"),
                                 aLine.name);
  for (const auto& [name, value] : aLine.fields) {
    if (!IsAny(name, kCommonFields)) {
      text += fmt::format(" {}={}", name, value);
    }
  }
  return text + "\n";
}

}

JobExplanation::JobExplanation(std::string aJob)
  : job_(std::move(aJob))
{
}

void
JobExplanation::Add(const LogLine& aLine)
{
  std::string job = aLine.Field("job");
  bool refused = aLine.name == "request_refused" &&
                 aLine.Field("path").ends_with("/" + job_);
  if (job == job_ || refused) {
    lines_.emplace(aLine.time, aLine);
  }
  if (aLine.name == "run_ended" && aLine.Field("kind") == "stopped") {
    stoppedJobsByAgent_[aLine.Field("agent")].insert(job);
  }
  if (IsAny(aLine.name, kFleetEvents)) {
    fleetEvents_.emplace(aLine.time, aLine);
  }
}

const LogLine*
JobExplanation::FindEndEvent() const
{
  const LogLine* last = nullptr;
  for (const auto& [time, line] : lines_) {
    if (line.name == "job_ended" || line.name == "request_refused") {
      last = &line;
    }
  }
  return last;
}

std::string
JobExplanation::Text() const
{
  if (lines_.empty()) {
    return fmt::format(
      "job {}: no log line refers to it. No entry received the complete "
      "request: check process_started and process_stopping of the entries at "
      "that time.\n",
      job_);
  }
  std::string text = fmt::format("job {}\n", job_);
  for (const auto& [time, line] : lines_) {
    text += FormatEvent(line, lines_.begin()->first);
  }
  const LogLine* end = FindEndEvent();
  text += "cause: ";
  text += end ? Cause(*end)
              : "no entry logged its outcome: the entry that owned it was "
                "killed or the log line was dropped";
  return text + "\n";
}

std::string
JobExplanation::Cause(const LogLine& aEnd) const
{
  std::string result = aEnd.Field("result");
  std::string reason = aEnd.Field("reason");
  if (aEnd.name == "request_refused") {
    if (result == "unknown_queue") {
      return fmt::format("configuration {} has no queue for this host and path",
                         aEnd.Field("configuration"));
    }
    return fmt::format("the request was refused before a job was created: {}",
                       reason);
  }
  if (result == "completed") {
    return CauseOfDelay(aEnd);
  }
  if (reason == "overload") {
    return CauseOfOverload(aEnd);
  }
  if (reason == "too_late") {
    return CauseOfDelay(aEnd);
  }
  if (reason == "server_lost") {
    return CauseOfServerLoss(aEnd);
  }
  if (reason == "attempts_used") {
    return CauseOfExhaustedAttempts();
  }
  if (reason == "crashed_servers") {
    return "servers crashed during runs of one of its tasks, which is not "
           "started again; see task_crash_counted for the crashes";
  }
  if (reason == "paused") {
    return "the entry had just been paused, and the request may have waited in "
           "the socket longer than the caller waits for the answer";
  }
  if (reason == "impossible") {
    return fmt::format(
      "one of its tasks does not fit on any of {} ready servers, even if idle",
      aEnd.Field("servers"));
  }
  if (reason == "abandoned" || reason == "cancelled") {
    return fmt::format("the caller cancelled it or disconnected after {} ms",
                       aEnd.Field("total_ms"));
  }
  return fmt::format("{} ({})", result, reason);
}

std::string
JobExplanation::CauseOfForecast() const
{
  for (const auto& [time, line] : lines_) {
    if (line.name == "admission_rejected" ||
        line.name == "admission_withdrawn") {
      return fmt::format(
        "it was rejected by a forecast after {} ms: {} core ms of work went "
        "first, {} cores at speed 1 were expected and {} of them were needed "
        "by more urgent work, so it was expected to start in {} ms and had to "
        "start within {} ms",
        line.Field("waited_ms"),
        line.Field("ahead_core_ms"),
        line.Field("cores"),
        line.Field("urgent_cores"),
        line.Field("forecast_ms"),
        line.Field("left_ms"));
    }
  }
  return {};
}

std::string
JobExplanation::CauseOfOverload(const LogLine& aEnd) const
{
  std::string forecast = CauseOfForecast();
  if (!forecast.empty()) {
    return forecast;
  }
  std::string text =
    fmt::format("no server had free capacity for it in the {} ms in which a "
                "start would have met the objective of {} ms; {} servers were "
                "ready and {} jobs were pending at this entry",
                aEnd.Field("waited_ms"),
                aEnd.Field("objective_ms"),
                aEnd.Field("servers"),
                aEnd.Field("waiting_jobs"));
  std::map<std::string, const LogLine*> latest;
  for (const auto& [time, line] : fleetEvents_) {
    if (time <= aEnd.time && line.name == "server_condition") {
      latest[line.Field("process")] = &line;
    }
  }
  for (const auto& [agent, line] : latest) {
    bool recent = aEnd.time - line->time <= kFleetEventWindow;
    if (recent && line->Field("condition") != "ready") {
      text += fmt::format("\n  agent {:.6}: server {} since {} ms ({})",
                          agent,
                          line->Field("condition"),
                          (aEnd.time - line->time).count(),
                          line->Field("reason"));
    }
  }
  return text;
}

std::map<std::string, double>
JobExplanation::LongestRunByAgent() const
{
  std::map<std::string, double> agents;
  for (const auto& [time, line] : lines_) {
    if (line.name == "run_ended" && line.Field("kind") != "no_room") {
      double& longest = agents[line.Field("agent")];
      longest = std::max(longest, line.Number("ran_ms"));
    }
  }
  return agents;
}

std::string
JobExplanation::CauseOfDelay(const LogLine& aEnd) const
{
  std::string pause = FindPauseOfEntry(aEnd);
  if (!pause.empty()) {
    return pause;
  }
  bool completed = aEnd.Field("result") == "completed";
  if (completed && aEnd.Number("total_ms") <= aEnd.Number("objective_ms")) {
    return "none: it was completed within its objective";
  }
  if (aEnd.Number("runs") == 0) {
    return "no server could have completed it in time, so no task was started";
  }
  std::string text = fmt::format(
    "{} of {} tasks were done after {} ms, {} ms of them before the first "
    "start; the estimated work was {} ms",
    aEnd.Field("done"),
    aEnd.Field("tasks"),
    aEnd.Field("total_ms"),
    aEnd.Field("waited_ms"),
    aEnd.Field("work_ms"));
  auto agents = LongestRunByAgent();
  std::size_t suspects = 0;
  for (const auto& [agent, longest] : agents) {
    auto stopped = stoppedJobsByAgent_.find(agent);
    std::size_t others =
      stopped == stoppedJobsByAgent_.end()
        ? 0
        : stopped->second.size() - stopped->second.count(job_);
    suspects += others >= kMinOtherStoppedJobs ? 1 : 0;
    text += fmt::format("\n  agent {:.6}: a run of {} ms was stopped; {} other "
                        "jobs had runs stopped there",
                        agent,
                        longest,
                        others);
  }
  if (agents.empty()) {
    return text + "\n  the runs of its tasks took that long";
  }
  return text + (suspects > 0
                   ? "\n  the servers of these agents hang or are slow"
                   : "\n  its work was underestimated");
}

std::string
JobExplanation::FindPauseOfEntry(const LogLine& aEnd) const
{
  milliseconds start =
    aEnd.time -
    milliseconds(static_cast<std::int64_t>(aEnd.Number("total_ms")));
  auto from = fleetEvents_.lower_bound(start);
  for (; from != fleetEvents_.upper_bound(aEnd.time + kPauseDetectionDelay);
       ++from) {
    const LogLine& line = from->second;
    if (line.name == "process_paused" &&
        line.Field("process") == aEnd.Field("process")) {
      return fmt::format("its entry {:.6} did not run for {} ms while it owned "
                         "the job",
                         line.Field("process"),
                         line.Field("length_ms"));
    }
  }
  return {};
}

std::string
JobExplanation::CauseOfServerLoss(const LogLine& aEnd) const
{
  std::string text =
    "contact with the agent of a server that ran a task was lost";
  auto from = fleetEvents_.lower_bound(aEnd.time - kFleetEventWindow);
  for (; from != fleetEvents_.upper_bound(aEnd.time); ++from) {
    const LogLine& line = from->second;
    if (line.Field("program") == "agent") {
      text += fmt::format("\n  {} ms before: agent {:.6} {} {}",
                          (aEnd.time - line.time).count(),
                          line.Field("process"),
                          line.name,
                          line.Field("condition"));
    }
  }
  return text;
}

std::string
JobExplanation::CauseOfExhaustedAttempts() const
{
  std::string text = "a task failed as often as its queue allows";
  for (const auto& [time, line] : lines_) {
    if (line.name == "run_ended" && line.Field("kind") == "failed") {
      text +=
        fmt::format("\n  task {} run {} failed on agent {:.6} after {} ms",
                    line.Field("task"),
                    line.Field("run"),
                    line.Field("agent"),
                    line.Field("ran_ms"));
    }
  }
  return text;
}

}
