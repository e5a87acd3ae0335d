#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>

namespace greengage::state {

/** An amount of a backend server's capacity. */
struct ResourceAmount
{
  /** Thousandths of a core. */
  std::uint32_t cpuMillicores = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t gpus = 0;

  auto operator<=>(const ResourceAmount&) const = default;
};

/** Returns the sum of two amounts; a part that overflows becomes the maximum.
 */
constexpr ResourceAmount
operator+(const ResourceAmount& aLeft, const ResourceAmount& aRight)
{
  auto add = [](std::uint32_t aFirst, std::uint32_t aSecond) {
    std::uint32_t sum = aFirst + aSecond;
    return sum < aFirst ? std::numeric_limits<std::uint32_t>::max() : sum;
  };
  return { add(aLeft.cpuMillicores, aRight.cpuMillicores),
           add(aLeft.memoryMb, aRight.memoryMb),
           add(aLeft.gpus, aRight.gpus) };
}

/** Returns the difference of two amounts; negative parts become zero. */
constexpr ResourceAmount
operator-(const ResourceAmount& aLeft, const ResourceAmount& aRight)
{
  auto subtract = [](std::uint32_t aFrom, std::uint32_t aAmount) {
    return aFrom > aAmount ? aFrom - aAmount : 0;
  };
  return { subtract(aLeft.cpuMillicores, aRight.cpuMillicores),
           subtract(aLeft.memoryMb, aRight.memoryMb),
           subtract(aLeft.gpus, aRight.gpus) };
}

/** Returns the larger of each part of two amounts. */
constexpr ResourceAmount
Max(const ResourceAmount& aLeft, const ResourceAmount& aRight)
{
  return { std::max(aLeft.cpuMillicores, aRight.cpuMillicores),
           std::max(aLeft.memoryMb, aRight.memoryMb),
           std::max(aLeft.gpus, aRight.gpus) };
}

/** Returns true if every part of aNeed is at most that of aFreeCapacity. */
constexpr bool
Fits(const ResourceAmount& aNeed, const ResourceAmount& aFreeCapacity)
{
  return aNeed.cpuMillicores <= aFreeCapacity.cpuMillicores &&
         aNeed.memoryMb <= aFreeCapacity.memoryMb &&
         aNeed.gpus <= aFreeCapacity.gpus;
}

}
