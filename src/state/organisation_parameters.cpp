#include "state/organisation_parameters.h"

#include <fmt/format.h>

#include "state/names.h"

namespace greengage::state {

OrganisationParameters::Builder&
OrganisationParameters::Builder::SetName(std::string aName)
{
  parameters_.name_ = std::move(aName);
  return *this;
}

OrganisationParameters::Builder&
OrganisationParameters::Builder::SetWeight(double aWeight)
{
  parameters_.weight_ = aWeight;
  return *this;
}

OrganisationParameters::Builder&
OrganisationParameters::Builder::SetQuotaSlots(std::uint32_t aSlots)
{
  parameters_.quotaSlots_ = aSlots;
  return *this;
}

OrganisationParameters::Builder&
OrganisationParameters::Builder::SetMaxSlots(std::uint32_t aSlots)
{
  parameters_.maxSlots_ = aSlots;
  return *this;
}

OrganisationParameters::Builder&
OrganisationParameters::Builder::SetMaxQueueTime(
  std::chrono::milliseconds aTime)
{
  parameters_.maxQueueTime_ = aTime;
  return *this;
}

tl::expected<OrganisationParameters, StateError>
OrganisationParameters::Builder::Build()
{
  auto fail = [](std::string aField, std::string aMessage) {
    return tl::unexpected(StateError{ std::move(aField), std::move(aMessage) });
  };
  const OrganisationParameters& p = parameters_;
  if (!IsValidName(p.name_)) {
    return fail("name", kNameRule);
  }
  // The negated form of the condition also rejects NaN.
  if (!(p.weight_ >= kMinWeight && p.weight_ <= kMaxWeight)) {
    return fail(
      "weight",
      fmt::format(
        "is {}, must be from {} to {}", p.weight_, kMinWeight, kMaxWeight));
  }
  if (p.quotaSlots_ > kMaxQuotaSlots) {
    return fail("quota_slots",
                fmt::format("is {}, must be from 0 to {}",
                            p.quotaSlots_,
                            kMaxQuotaSlots));
  }
  if (p.maxSlots_ > kMaxQuotaSlots) {
    return fail(
      "max_slots",
      fmt::format("is {}, must be from 0 to {}", p.maxSlots_, kMaxQuotaSlots));
  }
  if (p.maxQueueTime_.count() < 1 || p.maxQueueTime_ > kMaxQueueTime) {
    return fail("max_queue_time_ms",
                fmt::format("is {}, must be from 1 to {}",
                            p.maxQueueTime_.count(),
                            kMaxQueueTime.count()));
  }
  return std::move(parameters_);
}

}
