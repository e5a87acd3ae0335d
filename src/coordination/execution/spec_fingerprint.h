#pragma once

#include <compare>
#include <cstdint>

#include "state/job_spec.h"

namespace greengage::coordination {

/** 128-bit hash of a job's spec; replaces the spec after the job has ended. */
struct SpecFingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const SpecFingerprint&) const = default;

  static SpecFingerprint Of(const state::JobSpec& aSpec);
};

}
