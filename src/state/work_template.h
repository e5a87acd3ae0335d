#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "state/state_error.h"

namespace greengage::state {

/** Upper bound of the task timeout and of the expected run time. */
inline constexpr std::chrono::milliseconds kMaxTaskTimeout{ 120'000 };

/** Parameters of one kind of work, published by operators. Immutable. */
class WorkTemplate
{
public:
  class Builder;

  const std::string& Name() const { return name_; }
  /** Initial estimate of a task's run time on a server of average speed. */
  std::chrono::milliseconds ExpectedRunTime() const { return expectedRunTime_; }
  /** A task that runs longer is abandoned and counts as failed. */
  std::chrono::milliseconds TaskTimeout() const { return taskTimeout_; }
  std::uint32_t MemoryMb() const { return memoryMb_; }
  std::uint32_t Accelerators() const { return accelerators_; }

  bool operator==(const WorkTemplate&) const = default;

private:
  std::string name_;
  std::chrono::milliseconds expectedRunTime_{ 200 };
  std::chrono::milliseconds taskTimeout_{ 10'000 };
  std::uint32_t memoryMb_ = 0;
  std::uint32_t accelerators_ = 0;
};

/** Collects the fields of a WorkTemplate; Build() validates them. */
class WorkTemplate::Builder
{
public:
  Builder& SetName(std::string aName);
  Builder& SetExpectedRunTime(std::chrono::milliseconds aTime);
  Builder& SetTaskTimeout(std::chrono::milliseconds aTimeout);
  Builder& SetMemoryMb(std::uint32_t aMemoryMb);
  Builder& SetAccelerators(std::uint32_t aCount);

  /** Returns the template, or an error for the first invalid field. */
  tl::expected<WorkTemplate, StateError> Build();

private:
  WorkTemplate template_;
};

}
