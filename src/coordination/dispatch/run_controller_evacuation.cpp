#include "coordination/dispatch/run_controller.h"

#include <utility>

// Evacuation of the data centre of the server.
namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/**
 * Servers that were restarted during an evacuation may announce themselves some
 * time after its end; these get their load in a ramp too.
 */
constexpr milliseconds kReturnTime{ 30'000 };

}

void
RunController::OnEvacuation(const state::ProcessId& aFrom,
                            const state::EvacuationState& aState)
{
  if (aState.revision <= evacuation_.revision) {
    return;
  }
  auto before = Condition();
  bool wasEvacuated = IsEvacuated();
  auto earlier = std::exchange(evacuation_, aState);
  if (earlier.dataCentres != evacuation_.dataCentres &&
      hooks_.evacuationChanged) {
    hooks_.evacuationChanged({ earlier, evacuation_, aFrom });
  }
  if (wasEvacuated == IsEvacuated()) {
    return;
  }
  if (wasEvacuated) {
    evacuationEndedAt_ = clock_.MonotonicNow();
    BeginRamp();
  }
  ReportConditionChange(before,
                        IsEvacuated() ? "the data centre is evacuated"
                                      : "the evacuation has ended");
  // Entries that do not know of the change get it with the description.
  reporter_.SetDescription(server_);
  reporter_.SendUrgent();
}

bool
RunController::IsEvacuated() const
{
  return evacuation_.Contains(settings_.dataCentre);
}

void
RunController::BeginRamp()
{
  auto now = clock_.MonotonicNow();
  auto coldLeft = std::chrono::duration_cast<milliseconds>(coldUntil_ - now);
  ramp_ = RampOf(coldLeft, now);
}

void
RunController::OnColdServer(milliseconds aColdLeft, bool aIsNewIncarnation)
{
  auto now = clock_.MonotonicNow();
  coldUntil_ = now + aColdLeft;
  if (aIsNewIncarnation && evacuationEndedAt_ && !IsEvacuated() &&
      now - *evacuationEndedAt_ <= kReturnTime) {
    BeginRamp();
  }
}

void
RunController::UpdateRamp()
{
  if (!ramp_) {
    return;
  }
  if (clock_.MonotonicNow() >= ramp_->endsAt) {
    ramp_.reset();
  }
  reporter_.MarkChanged();
}

state::ResourceAmount
RunController::Withheld() const
{
  return ramp_ && server_
           ? WithheldCapacity(*ramp_, server_->capacity, clock_.MonotonicNow())
           : state::ResourceAmount{};
}

}
