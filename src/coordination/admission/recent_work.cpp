#include "coordination/admission/recent_work.h"

namespace greengage::coordination {

namespace {

/** Length of one part of the last second. */
constexpr std::chrono::milliseconds kPartLength{ 100 };

}

RecentWork::RecentWork(const state::Clock& aClock)
  : clock_(aClock)
{
}

std::int64_t
RecentWork::PartNumber() const
{
  return clock_.MonotonicNow().time_since_epoch() / kPartLength;
}

void
RecentWork::Add(std::uint32_t aPriority, double aWork)
{
  std::int64_t number = PartNumber();
  Part& part = parts_[aPriority][static_cast<std::size_t>(number) % kParts];
  if (part.number != number) {
    part = { number, 0 };
  }
  part.work += aWork;
}

double
RecentWork::RateAbove(std::uint32_t aPriority) const
{
  std::int64_t oldest = PartNumber() - static_cast<std::int64_t>(kParts) + 1;
  double work = 0;
  for (const auto& [priority, parts] : parts_) {
    if (priority >= aPriority) {
      break;
    }
    for (const Part& part : parts) {
      work += part.number >= oldest ? part.work : 0;
    }
  }
  return work / static_cast<double>(kParts * kPartLength.count());
}

}
