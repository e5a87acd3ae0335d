#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Maximum number of suspects of one crash; the others are dropped. */
constexpr std::size_t kMaxCrashSuspects = 256;

/**
 * The latest crashes of an agent's server, retained for entries that connect
 * later. Used by the control thread only.
 */
class CrashLog
{
public:
  explicit CrashLog(const state::Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Records a crash and returns its number; numbers rise from 1. */
  std::uint64_t Add(std::vector<CrashSuspect> aSuspects);
  /** Returns the number of the newest crash; 0 if there was none. */
  std::uint64_t Newest() const { return newest_; }
  /** Returns the retained crashes with higher numbers, with their age. */
  std::vector<ServerCrash> After(std::uint64_t aNumber) const;

private:
  struct Item
  {
    std::uint64_t number = 0;
    state::MonotonicTime detectedAt;
    std::vector<CrashSuspect> suspects;
  };

  const state::Clock& clock_;
  std::uint64_t newest_ = 0;
  std::deque<Item> items_;
};

}
