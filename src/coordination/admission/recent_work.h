#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "state/clock.h"

namespace greengage::coordination {

/**
 * Rate of the work that was added in the last second, by priority. Used by the
 * control thread only.
 */
class RecentWork
{
public:
  explicit RecentWork(const state::Clock& aClock);

  void Add(std::uint32_t aPriority, double aWork);
  /** Returns the work per ms of priorities above (before) this one. */
  double RateAbove(std::uint32_t aPriority) const;

private:
  static constexpr std::size_t kParts = 10;

  struct Part
  {
    std::int64_t number = -1;
    double work = 0;
  };

  std::int64_t PartNumber() const;

  const state::Clock& clock_;
  std::map<std::uint32_t, std::array<Part, kParts>> parts_;
};

}
