#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tools/log_line.h"

namespace greengage::tools {

/**
 * Extracts the events of one job from the collected logs of all processes and
 * derives the cause of its outcome. Lines may be added in any order.
 */
class JobExplanation
{
public:
  /** @param aJob ID of the job as it appears in the log lines */
  explicit JobExplanation(std::string aJob);

  void Add(const LogLine& aLine);

  /** Returns true if at least one added line refers to the job. */
  bool IsKnown() const { return !lines_.empty(); }
  /** Returns the events of the job in order of time, followed by the cause. */
  std::string Text() const;

private:
  std::string Cause(const LogLine& aEnd) const;
  std::string CauseOfOverload(const LogLine& aEnd) const;
  /** Returns the forecast by which it was rejected; empty if there was none. */
  std::string CauseOfForecast() const;
  std::string CauseOfDelay(const LogLine& aEnd) const;
  std::string CauseOfServerLoss(const LogLine& aEnd) const;
  std::string CauseOfExhaustedAttempts() const;
  /**
   * Returns the description of a pause of the entry that owned the job during
   * the job; empty if there was none.
   */
  std::string FindPauseOfEntry(const LogLine& aEnd) const;
  /** Returns the longest run of the job that ended at each agent, in ms. */
  std::map<std::string, double> LongestRunByAgent() const;
  /** Returns the last event that ended the job, or nullptr if there is none. */
  const LogLine* FindEndEvent() const;

  std::string job_;
  /** Lines that refer to the job, by time. */
  std::multimap<std::chrono::milliseconds, LogLine> lines_;
  /** Events of servers and processes that may affect jobs, by time. */
  std::multimap<std::chrono::milliseconds, LogLine> fleetEvents_;
  /** IDs of jobs with a stopped run, by agent. */
  std::map<std::string, std::set<std::string>> stoppedJobsByAgent_;
};

}
