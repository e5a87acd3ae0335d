#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "state/clock.h"
#include "state/state_error.h"

namespace greengage::state {

/**
 * How long the records of a job are kept after its ID was created. Older IDs
 * are refused, which bounds the size of every table that is keyed by job.
 */
inline constexpr std::chrono::minutes kJobRetention{ 10 };

/** How far in the future the creation time of a job ID may be. */
inline constexpr std::chrono::seconds kMaxClockAhead{ 1 };

/**
 * kMaxClockAhead plus the largest allowed difference (1 s) between the clocks
 * of two hosts. A job ID created later than the activation of an owner plus
 * this margin cannot have been accepted by an earlier owner.
 */
inline constexpr std::chrono::seconds kClockMargin{ 2 };

/** UUID version 7 (RFC 9562): 48 bits of creation time in ms, then random bits.
 */
class JobId
{
public:
  JobId() = default;

  /** Parses the 36-character form; an error has the field `job_id`. */
  static tl::expected<JobId, StateError> Parse(std::string_view aText);

  /** Returns an ID with the creation time aTime and the given random bits. */
  static JobId Create(WallTime aTime,
                      std::uint64_t aRandomHigh,
                      std::uint64_t aRandomLow);

  static JobId FromWords(std::uint64_t aHigh, std::uint64_t aLow);

  WallTime CreationTime() const;
  std::string ToString() const;
  std::uint64_t High() const { return high_; }
  std::uint64_t Low() const { return low_; }

  auto operator<=>(const JobId&) const = default;

private:
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

/** Identifies a job. IDs of different organisations are independent. */
struct JobKey
{
  std::string organisation;
  JobId id;

  auto operator<=>(const JobKey&) const = default;

  /** Returns a hash that is the same on every host and in every release. */
  std::uint64_t StableHash() const;

  /** Returns the shard of this job, 0 .. aShardCount - 1. */
  std::uint32_t Shard(std::uint32_t aShardCount) const;
};

}

template<>
struct std::hash<greengage::state::JobKey>
{
  std::size_t operator()(const greengage::state::JobKey& aKey) const noexcept
  {
    return aKey.StableHash();
  }
};
