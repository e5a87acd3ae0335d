#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tools/log_line.h"

namespace greengage::tools {

/**
 * Finds out from the collected logs of all processes what became of one job,
 * and why. Lines may come in any order.
 */
class JobExplanation
{
public:
  /** @param aJob identity as the log lines give it */
  explicit JobExplanation(std::string aJob);

  void Add(const LogLine& aLine);

  /** True if some line tells of the job. */
  bool IsKnown() const { return !lines_.empty(); }
  /** The job's events in the order of time, and then the cause. */
  std::string Text() const;

private:
  std::string Cause(const LogLine& aEnd) const;
  std::string CauseOfOverload(const LogLine& aEnd) const;
  std::string CauseOfLateness(const LogLine& aEnd) const;
  std::string CauseOfServerLoss(const LogLine& aEnd) const;
  std::string CauseOfUsedAttempts() const;
  /** Pause of the job's entry while it had the job; empty if none. */
  std::string Pause(const LogLine& aEnd) const;
  /** Agents that stopped or lost runs of the job, with the longest run. */
  std::map<std::string, double> SlowAgents() const;
  const LogLine* End() const;

  std::string job_;
  std::multimap<std::chrono::milliseconds, LogLine> lines_;
  /** Changes of servers and processes, which explain what jobs meet. */
  std::multimap<std::chrono::milliseconds, LogLine> surroundings_;
  /** Jobs with runs that were stopped, by agent. */
  std::map<std::string, std::set<std::string>> stoppedBy_;
};

}
