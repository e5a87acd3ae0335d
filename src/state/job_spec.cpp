#include "state/job_spec.h"

#include <fmt/format.h>

#include "state/names.h"

namespace greengage::state {

JobSpec::Builder&
JobSpec::Builder::SetKey(JobKey aKey)
{
  spec_.key_ = std::move(aKey);
  return *this;
}

JobSpec::Builder&
JobSpec::Builder::SetTemplateName(std::string aName)
{
  spec_.templateName_ = std::move(aName);
  return *this;
}

JobSpec::Builder&
JobSpec::Builder::AddPayload(std::string aPayload)
{
  spec_.payloads_.push_back(std::move(aPayload));
  return *this;
}

JobSpec::Builder&
JobSpec::Builder::SetDeadline(std::chrono::milliseconds aDeadline)
{
  spec_.deadline_ = aDeadline;
  return *this;
}

JobSpec::Builder&
JobSpec::Builder::SetUrgency(std::uint8_t aUrgency)
{
  spec_.urgency_ = aUrgency;
  return *this;
}

JobSpec::Builder&
JobSpec::Builder::SetIdempotent(bool aIdempotent)
{
  spec_.idempotent_ = aIdempotent;
  return *this;
}

tl::expected<JobSpec, StateError>
JobSpec::Builder::Build()
{
  auto fail = [](std::string aField, std::string aMessage) {
    return tl::unexpected(StateError{ std::move(aField), std::move(aMessage) });
  };
  if (!IsValidName(spec_.key_.organisation)) {
    return fail("organisation", kNameRule);
  }
  if (!IsValidName(spec_.templateName_)) {
    return fail("template", kNameRule);
  }
  if (spec_.payloads_.empty() || spec_.payloads_.size() > kMaxTasksPerJob) {
    return fail("tasks",
                fmt::format("has {} entries, must have 1 to {}",
                            spec_.payloads_.size(),
                            kMaxTasksPerJob));
  }
  for (std::size_t i = 0; i < spec_.payloads_.size(); ++i) {
    if (spec_.payloads_[i].size() > kMaxPayloadBytes) {
      return fail(fmt::format("tasks[{}]", i),
                  fmt::format("has {} bytes, the maximum is {}",
                              spec_.payloads_[i].size(),
                              kMaxPayloadBytes));
    }
  }
  if (spec_.deadline_.count() < 1 || spec_.deadline_ > kMaxDeadline) {
    return fail("deadline_ms",
                fmt::format("is {}, must be from 1 to {}",
                            spec_.deadline_.count(),
                            kMaxDeadline.count()));
  }
  if (spec_.urgency_ > kMaxUrgency) {
    return fail(
      "urgency",
      fmt::format("is {}, must be from 0 to {}", spec_.urgency_, kMaxUrgency));
  }
  if (spec_.idempotent_ && spec_.payloads_.size() != 1) {
    return fail("idempotent", "is allowed only for a job with one task");
  }
  return std::move(spec_);
}

}
