#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "state/state_error.h"

namespace greengage::state {

inline constexpr double kMinWeight = 0.01;
inline constexpr double kMaxWeight = 1000.0;
inline constexpr std::uint32_t kMaxQuotaSlots = 1'000'000;
inline constexpr std::chrono::milliseconds kMaxQueueTime{ 300'000 };

/** Limits of one organisation: immutable once built. */
class OrganisationParameters
{
public:
  class Builder;

  const std::string& Name() const { return name_; }
  /** Share of the fleet relative to other organisations under load. */
  double Weight() const { return weight_; }
  /** Slots this organisation may use before others go first; 0: by weight. */
  std::uint32_t QuotaSlots() const { return quotaSlots_; }
  /** Hard upper bound of running tasks; 0: none. */
  std::uint32_t MaxSlots() const { return maxSlots_; }
  /** Requests that would wait longer than this in the queue are refused. */
  std::chrono::milliseconds MaxQueueTime() const { return maxQueueTime_; }

  bool operator==(const OrganisationParameters&) const = default;

private:
  std::string name_;
  double weight_ = 1.0;
  std::uint32_t quotaSlots_ = 0;
  std::uint32_t maxSlots_ = 0;
  std::chrono::milliseconds maxQueueTime_{ 10'000 };
};

/** Collects the fields of OrganisationParameters; Build() checks them all. */
class OrganisationParameters::Builder
{
public:
  Builder& SetName(std::string aName);
  Builder& SetWeight(double aWeight);
  Builder& SetQuotaSlots(std::uint32_t aSlots);
  Builder& SetMaxSlots(std::uint32_t aSlots);
  Builder& SetMaxQueueTime(std::chrono::milliseconds aTime);

  /** The first invalid field is reported. */
  tl::expected<OrganisationParameters, StateError> Build();

private:
  OrganisationParameters parameters_;
};

}
