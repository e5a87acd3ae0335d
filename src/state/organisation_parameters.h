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

/** Weight and limits of one organisation. Immutable. */
class OrganisationParameters
{
public:
  class Builder;

  const std::string& Name() const { return name_; }
  /** Share of the fleet under load, relative to other organisations. */
  double Weight() const { return weight_; }
  /** Running tasks up to which the organisation has precedence; 0: none. */
  std::uint32_t QuotaSlots() const { return quotaSlots_; }
  /** Upper bound of running tasks; 0 if there is none. */
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

/** Collects the fields of OrganisationParameters; Build() validates them. */
class OrganisationParameters::Builder
{
public:
  Builder& SetName(std::string aName);
  Builder& SetWeight(double aWeight);
  Builder& SetQuotaSlots(std::uint32_t aSlots);
  Builder& SetMaxSlots(std::uint32_t aSlots);
  Builder& SetMaxQueueTime(std::chrono::milliseconds aTime);

  /** Returns the parameters, or an error for the first invalid field. */
  tl::expected<OrganisationParameters, StateError> Build();

private:
  OrganisationParameters parameters_;
};

}
