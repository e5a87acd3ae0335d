#include "coordination/admission/admission_forecast.h"

#include <algorithm>

namespace greengage::coordination {

namespace {

/** Callers are to be told within this time. */
constexpr double kDecisionTimeMs = 50;
/** Later than this, no other tick falls into the decision time. */
constexpr double kLastTickMs = 25;
/**
 * Factor by which the time left must exceed the forecast in the last tick of
 * the decision time. A job that is accepted there on a narrow margin is often
 * rejected late, while the capacity would serve another one.
 */
constexpr double kLastTickMargin = 1.6;
/**
 * Factor by which the forecast of a job that has waited longer must exceed its
 * time left. It has moved up in the queue, and its caller gains little by an
 * early answer.
 */
constexpr double kLateTolerance = 2;

}

double
ForecastWaitMs(const AdmissionInputs& aInputs,
               const AdmissionSettings& aSettings)
{
  if (aSettings.rule == AdmissionRule::eOff || aInputs.capacity <= 0) {
    return 0;
  }
  if (aSettings.rule == AdmissionRule::eFeedback) {
    return std::max(0.0, aInputs.observedWaitMs - aInputs.waitedMs);
  }
  double left = std::max(aInputs.capacity - aInputs.urgentArrivals,
                         aSettings.leastShare * aInputs.capacity);
  double wait = (aInputs.workAhead + aInputs.ownWork) / left;
  return aSettings.rule == AdmissionRule::eQuantile ? wait * aInputs.correction
                                                    : wait;
}

bool
StartsInTime(const AdmissionInputs& aInputs, double aForecastMs)
{
  double factor = 1;
  if (aInputs.waitedMs >= kDecisionTimeMs) {
    factor = kLateTolerance;
  } else if (aInputs.waitedMs >= kLastTickMs) {
    factor = 1 / kLastTickMargin;
  }
  return aForecastMs <= aInputs.timeLeftMs * factor;
}

}
