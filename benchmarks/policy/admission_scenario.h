#pragma once

#include <string>

#include "policy/admission_simulation.h"

namespace greengage::policy {

/** Counts of one run of the model, without its warm-up. */
struct AdmissionResult
{
  std::size_t attempts = 0;
  std::size_t rejections = 0;
  std::size_t rejectedAtOnce = 0;
  /** Rejections within 50 ms of the submission. */
  std::size_t rejectedSoon = 0;
  /** Attempts not rejected soon and not served in time. */
  std::size_t acceptedNotServed = 0;
  /** First attempts that were rejected soon and that the oracle serves. */
  std::size_t wrongRejections = 0;
  /**
   * Work served before the last arrival, as a share of what the fleet can do
   * in that time.
   */
  double servedWork = 0;
  /** Least share of the jobs of a kind that were served, by any attempt. */
  double worstKind = 0;
  /** Least service of a largest tenth divided by that of its kind. */
  double worstLargestTenth = 0;

  auto operator<=>(const AdmissionResult&) const = default;

  std::size_t RejectedLate() const { return rejections - rejectedSoon; }
  /** Share of the rejections that came within 50 ms. */
  double SoonShare() const;
  std::string ToLine() const;
};

/** The jobs of one load, and which of them can be served. */
struct AdmissionScenario
{
  AdmissionLoad load;
  std::vector<AdmissionArrival> arrivals;
  /** Whether one entry that has the fleet for itself and knows all run times
   * serves the arrival. */
  std::vector<bool> servedByOracle;

  auto operator<=>(const AdmissionScenario&) const = default;
};

AdmissionScenario
MakeAdmissionScenario(const AdmissionLoad& aLoad);

/**
 * Plays one load.
 * @param aSettings of the dispatchers of all entries
 */
AdmissionResult
MeasureAdmission(const AdmissionScenario& aScenario,
                 const coordination::JobDispatcherSettings& aSettings);

}
