#include "coordination/admission/admission_forecast.h"

#include <algorithm>

namespace greengage::coordination {

namespace {

/** Callers are to be told within 50 ms; the next tick is 25 ms later. */
constexpr double kDecisionTimeMs = 50;
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
  bool isNew = aInputs.waitedMs < kDecisionTimeMs;
  return aForecastMs <= aInputs.timeLeftMs * (isNew ? 1 : kLateTolerance);
}

}
