#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "state/job_id.h"
#include "state/state_error.h"

namespace greengage::state {

inline constexpr std::size_t kMaxTasksPerJob = 1100;
/** Of one task. */
inline constexpr std::size_t kMaxPayloadBytes = 64 * 1024;
inline constexpr std::uint8_t kMaxUrgency = 3;
inline constexpr std::chrono::milliseconds kDefaultDeadline{ 30'000 };
inline constexpr std::chrono::milliseconds kMaxDeadline{ 300'000 };

/** A caller's job. Immutable. */
class JobSpec
{
public:
  class Builder;

  const JobKey& Key() const { return key_; }
  const std::string& TemplateName() const { return templateName_; }
  /** One JSON text per task, in task order. */
  const std::vector<std::string>& Payloads() const { return payloads_; }
  std::size_t TaskCount() const { return payloads_.size(); }
  /** Time limit of the caller, counted from the arrival at the entry. */
  std::chrono::milliseconds Deadline() const { return deadline_; }
  /** 0 (least) .. kMaxUrgency (most urgent). */
  std::uint8_t Urgency() const { return urgency_; }
  /** True if the job is a single request that may run more than once. */
  bool Idempotent() const { return idempotent_; }

  bool operator==(const JobSpec&) const = default;

private:
  JobKey key_;
  std::string templateName_;
  std::vector<std::string> payloads_;
  std::chrono::milliseconds deadline_ = kDefaultDeadline;
  std::uint8_t urgency_ = 1;
  bool idempotent_ = false;
};

/** Collects the fields of a JobSpec; Build() validates them. */
class JobSpec::Builder
{
public:
  Builder& SetKey(JobKey aKey);
  Builder& SetTemplateName(std::string aName);
  Builder& AddPayload(std::string aPayload);
  Builder& SetDeadline(std::chrono::milliseconds aDeadline);
  Builder& SetUrgency(std::uint8_t aUrgency);
  Builder& SetIdempotent(bool aIdempotent);

  /** Returns the job, or an error for the first invalid field. */
  tl::expected<JobSpec, StateError> Build();

private:
  JobSpec spec_;
};

}
