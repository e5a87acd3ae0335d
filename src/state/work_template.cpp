#include "state/work_template.h"

#include <fmt/format.h>

#include "state/names.h"

namespace greengage::state {

WorkTemplate::Builder&
WorkTemplate::Builder::SetName(std::string aName)
{
  template_.name_ = std::move(aName);
  return *this;
}

WorkTemplate::Builder&
WorkTemplate::Builder::SetExpectedRunTime(std::chrono::milliseconds aTime)
{
  template_.expectedRunTime_ = aTime;
  return *this;
}

WorkTemplate::Builder&
WorkTemplate::Builder::SetTaskTimeout(std::chrono::milliseconds aTimeout)
{
  template_.taskTimeout_ = aTimeout;
  return *this;
}

WorkTemplate::Builder&
WorkTemplate::Builder::SetMemoryMb(std::uint32_t aMemoryMb)
{
  template_.memoryMb_ = aMemoryMb;
  return *this;
}

WorkTemplate::Builder&
WorkTemplate::Builder::SetAccelerators(std::uint32_t aCount)
{
  template_.accelerators_ = aCount;
  return *this;
}

tl::expected<WorkTemplate, StateError>
WorkTemplate::Builder::Build()
{
  if (!IsValidName(template_.name_)) {
    return tl::unexpected(StateError{ "name", kNameRule });
  }
  auto isAllowedTime = [](std::chrono::milliseconds aTime) {
    return aTime.count() >= 1 && aTime <= kMaxTaskTimeout;
  };
  if (!isAllowedTime(template_.expectedRunTime_)) {
    return tl::unexpected(
      StateError{ "expected_run_time_ms",
                  fmt::format("is {}, must be from 1 to {}",
                              template_.expectedRunTime_.count(),
                              kMaxTaskTimeout.count()) });
  }
  if (!isAllowedTime(template_.taskTimeout_)) {
    return tl::unexpected(
      StateError{ "task_timeout_ms",
                  fmt::format("is {}, must be from 1 to {}",
                              template_.taskTimeout_.count(),
                              kMaxTaskTimeout.count()) });
  }
  return std::move(template_);
}

}
