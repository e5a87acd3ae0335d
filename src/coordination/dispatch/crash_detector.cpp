#include "coordination/dispatch/crash_detector.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/**
 * Minimum time between the first and the last refused connection. A listener
 * that is busy refuses single connections.
 */
constexpr milliseconds kMinRefusalTime{ 100 };
/**
 * Maximum age of the last refused connection. Calls are repeated every 125 ms;
 * an older one shows that the agent was paused or the server cut off since.
 */
constexpr milliseconds kMaxRefusalAge{ 300 };

}

const char*
ToString(CrashEvidence aEvidence)
{
  switch (aEvidence) {
    case CrashEvidence::eLaterIncarnation:
      return "later_incarnation";
    case CrashEvidence::eRefusedUntilLeaseEnd:
      return "refused_until_lease_end";
  }
  return "unknown";
}

void
CrashDetector::OnAnswered(MonotonicTime aSentAt)
{
  answeredAt_ = std::max(answeredAt_.value_or(aSentAt), aSentAt);
  if (refusedSince_ && aSentAt >= *refusedSince_) {
    refusedSince_.reset();
    refusedAt_.reset();
  }
}

void
CrashDetector::OnConnectionRefused(MonotonicTime aSentAt)
{
  if (answeredAt_ && aSentAt < *answeredAt_) {
    return;
  }
  refusedSince_ = std::min(refusedSince_.value_or(aSentAt), aSentAt);
  refusedAt_ = std::max(refusedAt_.value_or(aSentAt), aSentAt);
}

void
CrashDetector::OnNoAnswer(MonotonicTime aSentAt)
{
  // Calls in flight at the crash were sent before the first refused one.
  if (refusedSince_ && aSentAt >= *refusedSince_) {
    refusedSince_.reset();
    refusedAt_.reset();
  }
}

void
CrashDetector::OnNewIncarnation()
{
  hasLeft_ = false;
  isDraining_ = false;
  isRecorded_ = false;
  answeredAt_.reset();
  refusedSince_.reset();
  refusedAt_.reset();
}

bool
CrashDetector::IsCrash(CrashEvidence aEvidence) const
{
  if (isRecorded_ || hasLeft_ || isDraining_) {
    return false;
  }
  if (aEvidence == CrashEvidence::eLaterIncarnation) {
    return true;
  }
  return refusedSince_ && *refusedAt_ - *refusedSince_ >= kMinRefusalTime &&
         clock_.MonotonicNow() - *refusedAt_ <= kMaxRefusalAge;
}

milliseconds
CrashDetector::Age() const
{
  auto now = clock_.MonotonicNow();
  auto since = refusedSince_ ? *refusedSince_ : answeredAt_.value_or(now);
  return std::chrono::duration_cast<milliseconds>(now - since);
}

}
