#include "coordination/dispatch/crash_log.h"

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/** Time for which crashes are reported to entries that connect later. */
constexpr milliseconds kCrashRetention{ 30'000 };
/** A server that is back after 3 s crashes at most 10 times in that time. */
constexpr std::size_t kMaxCrashes = 16;

}

std::uint64_t
CrashLog::Add(std::vector<CrashSuspect> aSuspects)
{
  if (aSuspects.size() > kMaxCrashSuspects) {
    aSuspects.resize(kMaxCrashSuspects);
  }
  if (items_.size() == kMaxCrashes) {
    items_.pop_front();
  }
  items_.push_back({ ++newest_, clock_.MonotonicNow(), std::move(aSuspects) });
  return newest_;
}

std::vector<ServerCrash>
CrashLog::After(std::uint64_t aNumber) const
{
  std::vector<ServerCrash> crashes;
  for (const Item& item : items_) {
    auto age = std::chrono::duration_cast<milliseconds>(clock_.MonotonicNow() -
                                                        item.detectedAt);
    if (item.number > aNumber && age <= kCrashRetention) {
      crashes.push_back({ item.number,
                          static_cast<std::uint32_t>(age.count()),
                          item.suspects });
    }
  }
  return crashes;
}

}
