#pragma once

#include <chrono>
#include <compare>

namespace greengage::coordination {

/** How an entry forecasts the waiting time of a job. */
enum class AdmissionRule
{
  /** Every job waits until its latest start. */
  eOff,
  /** Work ahead divided by the capacity that is left for it. */
  ePoint,
  /** ePoint, corrected by a quantile of the observed errors. */
  eQuantile,
  /** A quantile of the waiting times of its priority, without a model. */
  eFeedback,
};

struct AdmissionSettings
{
  AdmissionRule rule = AdmissionRule::eOff;
  /** Quantile of the observations of the last second, 0 to 1. */
  double quantile = 0.8;
  /**
   * Least share of the capacity that a job is expected to get, 0 to 1. Urgent
   * work leaves gaps even when it could use everything. With 0.25, the jobs of
   * the lowest priority were served less: 0.525 instead of 0.576 at load 1.5.
   */
  double leastShare = 0.5;

  auto operator<=>(const AdmissionSettings&) const = default;
};

/**
 * State of an entry as far as it decides when a job starts. Work is in
 * millicore milliseconds at speed 1.
 */
struct AdmissionInputs
{
  /** Work of waiting tasks that get capacity before the job. */
  double workAhead = 0;
  double ownWork = 0;
  /** Millicores at speed 1 that the entry can expect to use. */
  double capacity = 0;
  /** Millicores that newly arriving work of higher priority will use. */
  double urgentArrivals = 0;
  /** Actual waiting time divided by the forecast, as observed. */
  double correction = 1;
  /** Waiting time that was observed for this priority, in ms. */
  double observedWaitMs = 0;
  /** Time until the latest start of the job, in ms. */
  double timeLeftMs = 0;
  /** Time for which the job has waited, in ms. */
  double waitedMs = 0;

  auto operator<=>(const AdmissionInputs&) const = default;
};

/** Returns the expected time until the start of the job, in ms. */
double
ForecastWaitMs(const AdmissionInputs& aInputs,
               const AdmissionSettings& aSettings);

/** Returns false if the job must be expected to start too late. */
bool
StartsInTime(const AdmissionInputs& aInputs, double aForecastMs);

}
