#include "state/job_id.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <fmt/format.h>

namespace greengage::state {

namespace {

// Year 2248, in ms since 1970. The 48 bits of an ID reach the year 10889, but
// the nanoseconds of WallTime overflow in 2262: without the limit, a time in
// the far future would become a time in the past.
constexpr std::uint64_t kLatestTimeMs = std::uint64_t{ 1 } << 43;

constexpr std::size_t kUuidLength = 36;
constexpr std::uint64_t kVersionMask = 0xf000;
constexpr std::uint64_t kVersion7 = 0x7000;
constexpr std::uint64_t kVariantMask = 0xc000000000000000ULL;
constexpr std::uint64_t kVariantRfc = 0x8000000000000000ULL;
constexpr int kTimeShift = 16;

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return -1;
}

bool
IsDashPosition(std::size_t aIndex)
{
  return aIndex == 8 || aIndex == 13 || aIndex == 18 || aIndex == 23;
}

StateError
MalformedId(std::string_view aText)
{
  return { "job_id",
           fmt::format("\"{}\" is not a UUID of version 7",
                       aText.substr(0, kUuidLength)) };
}

}

tl::expected<JobId, StateError>
JobId::Parse(std::string_view aText)
{
  if (aText.size() != kUuidLength) {
    return tl::unexpected(MalformedId(aText));
  }
  std::uint64_t words[2] = { 0, 0 };
  int digits = 0;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (IsDashPosition(i)) {
      if (aText[i] != '-') {
        return tl::unexpected(MalformedId(aText));
      }
      continue;
    }
    int value = HexValue(aText[i]);
    if (value < 0) {
      return tl::unexpected(MalformedId(aText));
    }
    std::uint64_t& word = words[digits / 16];
    word = (word << 4) | static_cast<std::uint64_t>(value);
    ++digits;
  }
  if ((words[0] & kVersionMask) != kVersion7 ||
      (words[1] & kVariantMask) != kVariantRfc) {
    return tl::unexpected(MalformedId(aText));
  }
  return FromWords(words[0], words[1]);
}

JobId
JobId::Create(WallTime aTime,
              std::uint64_t aRandomHigh,
              std::uint64_t aRandomLow)
{
  auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  std::uint64_t time = static_cast<std::uint64_t>(sinceEpoch.count())
                       << kTimeShift;
  std::uint64_t high = time | kVersion7 | (aRandomHigh & 0x0fff);
  return FromWords(high, kVariantRfc | (aRandomLow & ~kVariantMask));
}

JobId
JobId::FromWords(std::uint64_t aHigh, std::uint64_t aLow)
{
  JobId id;
  id.high_ = aHigh;
  id.low_ = aLow;
  return id;
}

WallTime
JobId::CreationTime() const
{
  std::uint64_t time = std::min(high_ >> kTimeShift, kLatestTimeMs);
  return WallTime(std::chrono::milliseconds(time));
}

std::string
JobId::ToString() const
{
  return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
                     high_ >> 32,
                     (high_ >> 16) & 0xffff,
                     high_ & 0xffff,
                     low_ >> 48,
                     low_ & 0xffffffffffffULL);
}

std::uint64_t
JobKey::StableHash() const
{
  std::uint64_t seed = XXH64(organisation.data(), organisation.size(), 0);
  std::uint64_t words[2] = { id.High(), id.Low() };
  return XXH64(words, sizeof(words), seed);
}

std::uint32_t
JobKey::Shard(std::uint32_t aShardCount) const
{
  if (aShardCount <= 1) {
    return 0;
  }
  return static_cast<std::uint32_t>(StableHash() % aShardCount);
}

}
