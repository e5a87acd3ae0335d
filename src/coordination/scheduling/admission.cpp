#include "coordination/scheduling/admission.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

namespace greengage::coordination {

namespace {

using state::RefusalCode;

constexpr std::chrono::milliseconds kNoWorkersRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 30'000 };
// Run times vary, so only this share of the expected run time is compared with
// the deadline.
constexpr double kComparedRunShare = 0.5;

double
Seconds(std::chrono::milliseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Time until the queueing time is shorter by aSeconds, within the bounds. */
std::chrono::milliseconds
RetryAfter(double aSeconds)
{
  double longest = Seconds(kMaxRetryAfter);
  double shortest = Seconds(kMinRetryAfter);
  double seconds = std::clamp(aSeconds, shortest, longest);
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

/** Share of the usable slots that an organisation receives under contention. */
double
SlotShare(const FleetState& aFleet,
          const QueueState& aQueue,
          const state::OrganisationParameters& aLimits)
{
  double slots = aFleet.usableSlots;
  double share = std::max(aQueue.weightShare, aLimits.QuotaSlots() / slots);
  if (aLimits.MaxSlots() > 0) {
    share = std::min(share, aLimits.MaxSlots() / slots);
  }
  return std::min(share, 1.0);
}

tl::unexpected<CoordinationError>
Refuse(RefusalCode aCode,
       std::string aMessage,
       std::chrono::milliseconds aRetryAfter = {})
{
  return tl::unexpected(
    CoordinationError{ aCode, std::move(aMessage), aRetryAfter });
}

tl::expected<void, CoordinationError>
CheckServers(const FleetState& aFleet)
{
  if (aFleet.servers == 0) {
    return Refuse(RefusalCode::eNoWorkers,
                  "no backend server is known",
                  kNoWorkersRetryAfter);
  }
  if (!aFleet.fitsAnyServer) {
    return Refuse(RefusalCode::eImpossibleRequirements,
                  "the template needs more memory or accelerators than any "
                  "known backend server has");
  }
  if (aFleet.usableSlots == 0) {
    return Refuse(RefusalCode::eNoWorkers,
                  "every known backend server is draining or ejected",
                  kNoWorkersRetryAfter);
  }
  return {};
}

}

double
ExpectedQueueTime(const FleetState& aFleet,
                  const QueueState& aQueue,
                  const state::OrganisationParameters& aLimits)
{
  if (aFleet.usableSlots == 0) {
    return std::numeric_limits<double>::infinity();
  }
  double rate = aFleet.usableRate * SlotShare(aFleet, aQueue, aLimits);
  return aQueue.workAhead / rate;
}

tl::expected<void, CoordinationError>
DecideAdmission(const state::JobSpec& aSpec,
                const FleetState& aFleet,
                const QueueState& aQueue,
                const state::OrganisationParameters& aLimits)
{
  if (auto checked = CheckServers(aFleet); !checked) {
    return checked;
  }
  double wait = ExpectedQueueTime(aFleet, aQueue, aLimits);
  double maxWait = Seconds(aLimits.MaxQueueTime());
  if (wait > maxWait) {
    bool atCap =
      aLimits.MaxSlots() > 0 && aQueue.runningSlots >= aLimits.MaxSlots();
    return Refuse(atCap ? RefusalCode::eQuotaExceeded : RefusalCode::eQueueFull,
                  fmt::format("expected queueing time {:.1f} s exceeds {:.1f} s"
                              "{}",
                              wait,
                              maxWait,
                              atCap ? " at the cap of running tasks" : ""),
                  RetryAfter(wait - maxWait));
  }
  double run = 0;
  if (aQueue.workIsLearned) {
    double share = SlotShare(aFleet, aQueue, aLimits);
    run = std::max(aQueue.longestTask / aFleet.fastestSpeed,
                   aQueue.jobWork / (aFleet.usableRate * share));
  }
  double needed = wait + kComparedRunShare * run;
  double deadline = Seconds(aSpec.Deadline());
  if (needed > deadline) {
    // A retry can succeed only if the queueing time, not the run time of the
    // job, is the cause.
    bool queueIsCause = needed - wait <= deadline;
    return Refuse(
      RefusalCode::eDeadlineUnreachable,
      fmt::format("expected {:.2f} s of queueing and {:.2f} s of run time "
                  "exceed the deadline of {:.2f} s",
                  wait,
                  run,
                  deadline),
      queueIsCause ? RetryAfter(needed - deadline)
                   : std::chrono::milliseconds{ 0 });
  }
  return {};
}

}
