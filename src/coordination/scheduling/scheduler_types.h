#pragma once

#include <compare>
#include <cstdint>

#include "state/process_id.h"

namespace greengage::coordination {

/** Number of a job within one owner; it is never reused. */
using JobHandle = std::uint64_t;

/** One attempt to run one task. */
struct TaskRef
{
  JobHandle job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/** Decision to start a task on the backend server beside an agent. */
struct Assignment
{
  state::ProcessId agent;
  TaskRef task;

  auto operator<=>(const Assignment&) const = default;
};

/** Resources that a task occupies on a backend server besides its slot. */
struct TaskNeeds
{
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;

  auto operator<=>(const TaskNeeds&) const = default;

  bool Empty() const { return memoryMb == 0 && accelerators == 0; }
};

/** Indexes into the scheduler's tables; an index may be reused. */
using ServerIndex = std::uint32_t;
using TemplateIndex = std::uint32_t;
using OrganisationIndex = std::uint32_t;
using JobIndex = std::uint32_t;

}
