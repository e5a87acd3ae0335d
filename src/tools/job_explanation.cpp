#include "tools/job_explanation.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace greengage::tools {

using std::chrono::milliseconds;

namespace {

/** Events of processes and servers that matter to the jobs they meet. */
constexpr std::array<std::string_view, 5> kSurroundings{ "server_condition",
                                                         "process_started",
                                                         "process_stopping",
                                                         "process_paused",
                                                         "peer_lost" };
/** Surroundings this long before the end of a job may be its cause. */
constexpr milliseconds kSurroundingsTime{ 5000 };
/** A process may answer jobs before it notices that it was paused. */
constexpr milliseconds kPauseNoticed{ 50 };
/** Runs of other jobs stopped by one agent that make its server suspect. */
constexpr std::size_t kSuspectJobs = 2;
/** Fields that say who wrote a line, or what is in each of the job's lines. */
constexpr std::array<std::string_view, 7> kCommonFields{
  "time", "level", "event", "name", "program", "process", "job"
};

bool
IsAny(std::string_view aName, const auto& aNames)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::string
Story(const LogLine& aLine, milliseconds aStart)
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
    stoppedBy_[aLine.Field("agent")].insert(job);
  }
  if (IsAny(aLine.name, kSurroundings)) {
    surroundings_.emplace(aLine.time, aLine);
  }
}

const LogLine*
JobExplanation::End() const
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
      "job {}: no line tells of it. No entry read it whole: look for "
      "process_started and process_stopping of the entries at that time.\n",
      job_);
  }
  std::string text = fmt::format("job {}\n", job_);
  for (const auto& [time, line] : lines_) {
    text += Story(line, lines_.begin()->first);
  }
  const LogLine* end = End();
  text += "cause: ";
  text += end ? Cause(*end)
              : "no entry wrote how it ended: the entry that had it was killed "
                "or its line was dropped";
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
    return fmt::format("refused before it was a job: {}", reason);
  }
  if (result == "completed") {
    return CauseOfLateness(aEnd);
  }
  if (reason == "overload") {
    return CauseOfOverload(aEnd);
  }
  if (reason == "too_late") {
    return CauseOfLateness(aEnd);
  }
  if (reason == "server_lost") {
    return CauseOfServerLoss(aEnd);
  }
  if (reason == "attempts_used") {
    return CauseOfUsedAttempts();
  }
  if (reason == "paused") {
    return "the entry had just been paused, and the request may have waited in "
           "its socket longer than the caller did";
  }
  if (reason == "impossible") {
    return fmt::format("none of {} ready servers could ever hold a task of it",
                       aEnd.Field("servers"));
  }
  if (reason == "abandoned" || reason == "cancelled") {
    return fmt::format("the caller gave it up after {} ms",
                       aEnd.Field("total_ms"));
  }
  return fmt::format("{} ({})", result, reason);
}

std::string
JobExplanation::CauseOfOverload(const LogLine& aEnd) const
{
  std::string text =
    fmt::format("no server had room for it in the {} ms in which a start would "
                "have met the objective of {} ms; {} servers were ready and {} "
                "jobs waited at this entry",
                aEnd.Field("waited_ms"),
                aEnd.Field("objective_ms"),
                aEnd.Field("servers"),
                aEnd.Field("waiting_jobs"));
  std::map<std::string, const LogLine*> latest;
  for (const auto& [time, line] : surroundings_) {
    if (time <= aEnd.time && line.name == "server_condition") {
      latest[line.Field("process")] = &line;
    }
  }
  for (const auto& [agent, line] : latest) {
    bool recent = aEnd.time - line->time <= kSurroundingsTime;
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
JobExplanation::SlowAgents() const
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
JobExplanation::CauseOfLateness(const LogLine& aEnd) const
{
  std::string pause = Pause(aEnd);
  if (!pause.empty()) {
    return pause;
  }
  bool completed = aEnd.Field("result") == "completed";
  if (completed && aEnd.Number("total_ms") <= aEnd.Number("objective_ms")) {
    return "none: it was completed within its objective";
  }
  if (aEnd.Number("runs") == 0) {
    return "no server could have ended it in time, so nothing was started";
  }
  std::string text = fmt::format(
    "{} of {} tasks were done after {} ms, {} ms of them before the first "
    "start; {} ms of work were expected",
    aEnd.Field("done"),
    aEnd.Field("tasks"),
    aEnd.Field("total_ms"),
    aEnd.Field("waited_ms"),
    aEnd.Field("work_ms"));
  auto agents = SlowAgents();
  std::size_t suspects = 0;
  for (const auto& [agent, longest] : agents) {
    auto stopped = stoppedBy_.find(agent);
    std::size_t others =
      stopped == stoppedBy_.end()
        ? 0
        : stopped->second.size() - stopped->second.count(job_);
    suspects += others >= kSuspectJobs ? 1 : 0;
    text += fmt::format("\n  agent {:.6}: a run of {} ms was stopped; {} other "
                        "jobs had runs stopped there",
                        agent,
                        longest,
                        others);
  }
  if (agents.empty()) {
    return text + "\n  its runs just took that long";
  }
  return text + (suspects > 0
                   ? "\n  the servers of these agents hang or are slow"
                   : "\n  its work was underestimated");
}

std::string
JobExplanation::Pause(const LogLine& aEnd) const
{
  milliseconds start =
    aEnd.time -
    milliseconds(static_cast<std::int64_t>(aEnd.Number("total_ms")));
  auto from = surroundings_.lower_bound(start);
  for (; from != surroundings_.upper_bound(aEnd.time + kPauseNoticed); ++from) {
    const LogLine& line = from->second;
    if (line.name == "process_paused" &&
        line.Field("process") == aEnd.Field("process")) {
      return fmt::format("its entry {:.6} did not run for {} ms while it had "
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
  std::string text = "the agent of a server that ran a task was taken for gone";
  auto from = surroundings_.lower_bound(aEnd.time - kSurroundingsTime);
  for (; from != surroundings_.upper_bound(aEnd.time); ++from) {
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
JobExplanation::CauseOfUsedAttempts() const
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
