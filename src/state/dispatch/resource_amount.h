#pragma once

#include <compare>
#include <cstdint>

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

/** Sum of two amounts. */
constexpr ResourceAmount
operator+(const ResourceAmount& aLeft, const ResourceAmount& aRight)
{
  return { aLeft.cpuMillicores + aRight.cpuMillicores,
           aLeft.memoryMb + aRight.memoryMb,
           aLeft.gpus + aRight.gpus };
}

/** Difference of two amounts; a negative part becomes zero. */
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

/** True if every part of the need is at most that of the room. */
constexpr bool
Fits(const ResourceAmount& aNeed, const ResourceAmount& aRoom)
{
  return aNeed.cpuMillicores <= aRoom.cpuMillicores &&
         aNeed.memoryMb <= aRoom.memoryMb && aNeed.gpus <= aRoom.gpus;
}

}
