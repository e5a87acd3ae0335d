#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "state/job_outcome.h"
#include "state/job_spec.h"

namespace greengage::coordination::simulation {

/** The one right result of a task. */
inline std::string
ExpectedResult(const state::JobKey& aKey,
               std::uint32_t aTask,
               const std::string& aPayload)
{
  return fmt::format("[\"{}\",{},{}]", aKey.id.ToString(), aTask, aPayload);
}

/** Checks the invariants of design section 1.3 from the outside. */
class InvariantChecker
{
public:
  /** The first violation; empty if there is none. */
  const std::string& Violation() const { return violation_; }

  /** A caller's request; returns its number. */
  std::size_t OnSubmit(const state::JobSpec& aSpec, std::size_t aEntry)
  {
    jobs_[aSpec.Key()].submissions.push_back(submissions_.size());
    submissions_.push_back({ aSpec, aEntry, std::nullopt });
    return submissions_.size() - 1;
  }

  void OnAnswer(std::size_t aSubmission, const state::JobOutcome& aOutcome)
  {
    Submission& submission = submissions_[aSubmission];
    if (submission.outcome) {
      Fail("a caller was answered twice");
    }
    submission.outcome = aOutcome;
    CheckWhole(submission.spec, aOutcome);
    CheckNotRun(submission.spec.Key());
  }

  void OnCancelAnswer(const state::JobKey& aKey,
                      std::size_t aEntry,
                      const state::JobOutcome& aOutcome)
  {
    if (!aOutcome.complete && aOutcome.run == state::RunState::eNotRun) {
      jobs_[aKey].cancelledNotRun[aEntry] = submissions_.size();
      CheckNotRun(aKey);
    }
  }

  void OnStart(const state::JobKey& aKey, std::uint32_t aTask, bool aDraining)
  {
    if (aDraining) {
      Fail("a draining agent started a task");
    }
    Job& job = jobs_[aKey];
    int starts = ++job.starts[aTask];
    bool idempotent = submissions_[job.submissions.at(0)].spec.Idempotent();
    if (starts > 1 && !idempotent) {
      Fail(
        fmt::format("task {} of {} started twice", aTask, aKey.id.ToString()));
    }
    CheckNotRun(aKey);
  }

  void OnEntryKilled(std::size_t aEntry) { killed_.insert(aEntry); }

  /** Every caller whose entry lived must have been answered by now. */
  void CheckAllAnswered()
  {
    for (const Submission& submission : submissions_) {
      if (!submission.outcome && !killed_.contains(submission.entry)) {
        Fail("a caller was never answered");
      }
    }
  }

  std::size_t CompleteAnswers() const
  {
    std::size_t complete = 0;
    for (const Submission& submission : submissions_) {
      complete += submission.outcome && submission.outcome->complete ? 1 : 0;
    }
    return complete;
  }

private:
  struct Submission
  {
    state::JobSpec spec;
    std::size_t entry = 0;
    std::optional<state::JobOutcome> outcome;
  };

  struct Job
  {
    std::vector<std::size_t> submissions;
    std::map<std::uint32_t, int> starts;
    /** Number of submissions so far, by entry. */
    std::map<std::size_t, std::size_t> cancelledNotRun;
  };

  void Fail(const std::string& aViolation)
  {
    if (violation_.empty()) {
      violation_ = aViolation;
    }
  }

  void CheckWhole(const state::JobSpec& aSpec,
                  const state::JobOutcome& aOutcome)
  {
    std::vector<std::string> expected;
    for (std::uint32_t i = 0; aOutcome.complete && i < aSpec.TaskCount(); ++i) {
      expected.push_back(ExpectedResult(aSpec.Key(), i, aSpec.Payloads()[i]));
    }
    if (aOutcome.results != expected) {
      Fail("an answer is partial or belongs to another request");
    }
  }

  /**
   * A started job needs a submission that was not answered "not run", and
   * that a cancellation answered "not run" by the same entry does not cover.
   */
  void CheckNotRun(const state::JobKey& aKey)
  {
    const Job& job = jobs_[aKey];
    bool explained = job.starts.empty();
    for (std::size_t number : job.submissions) {
      const Submission& submission = submissions_[number];
      bool notRun = submission.outcome && !submission.outcome->complete &&
                    submission.outcome->run == state::RunState::eNotRun;
      auto cancel = job.cancelledNotRun.find(submission.entry);
      bool cancelled =
        cancel != job.cancelledNotRun.end() && number < cancel->second;
      explained = explained || (!notRun && !cancelled);
    }
    if (!explained) {
      Fail(fmt::format("{} was answered not_run and has started",
                       aKey.id.ToString()));
    }
  }

  std::string violation_;
  std::vector<Submission> submissions_;
  std::map<state::JobKey, Job> jobs_;
  std::set<std::size_t> killed_;
};

}
