#include "coordination/dispatch/job_memory.h"

#include <algorithm>
#include <tuple>

#include "state/dispatch/dispatch_job_memory.h"

namespace greengage::coordination {

using state::DispatchJobId;

namespace {

/** Records of a job outside its steps: submissions, queue, places in tables. */
constexpr std::size_t kBytesPerJob = 1024;
/**
 * Part of the memory that an ordinary job does not exceed: 128 KB of the 32 MB
 * of the smallest entry, where a job of 1,100 tasks needs 72 KB.
 */
constexpr std::size_t kOrdinaryDivisor = 256;
/** Part of the memory that is kept when jobs are rejected. */
constexpr std::size_t kKeptEighths = 7;

}

std::size_t
MemoryOf(const DispatchedJob& aJob)
{
  std::size_t bytes =
    sizeof(aJob) + kBytesPerJob + state::OwnedMemory(aJob.spec);
  for (const DispatchedStep& step : aJob.steps) {
    bytes += sizeof(step) + step.tasks.capacity() * sizeof(DispatchedTask);
  }
  return bytes;
}

JobMemory::JobMemory(std::size_t aMaxBytes, ChangedHook aChanged)
  : maxBytes_(aMaxBytes)
  , changed_(std::move(aChanged))
{
}

void
JobMemory::Add(const DispatchedJob& aJob)
{
  std::size_t bytes = MemoryOf(aJob);
  if (jobs_.emplace(aJob.spec.id, Entry{ bytes, aJob.submittedAt }).second) {
    SetHeldBytes(heldBytes_ + bytes);
  }
}

void
JobMemory::Remove(DispatchJobId aJob)
{
  auto job = jobs_.find(aJob);
  if (job != jobs_.end()) {
    SetHeldBytes(heldBytes_ - job->second.bytes);
    jobs_.erase(job);
  }
}

std::optional<std::vector<DispatchJobId>>
JobMemory::MakeRoom(const DispatchedJob& aNewJob,
                    const IsWaiting& aIsWaiting) const
{
  std::size_t needed = MemoryOf(aNewJob);
  std::vector<DispatchJobId> rejected;
  if (maxBytes_ == 0 || heldBytes_ + needed <= maxBytes_) {
    return rejected;
  }
  using Candidate =
    std::tuple<bool, state::MonotonicTime, DispatchJobId, std::size_t>;
  std::vector<Candidate> candidates;
  std::size_t candidateBytes = 0;
  for (const auto& [id, entry] : jobs_) {
    if (aIsWaiting(id)) {
      bool isOrdinary = entry.bytes <= maxBytes_ / kOrdinaryDivisor;
      candidates.emplace_back(isOrdinary, entry.submittedAt, id, entry.bytes);
      candidateBytes += entry.bytes;
    }
  }
  if (heldBytes_ - candidateBytes + needed > maxBytes_) {
    return std::nullopt;
  }
  std::sort(candidates.begin(), candidates.end());
  std::size_t left = heldBytes_ + needed;
  for (const auto& [isOrdinary, submittedAt, id, bytes] : candidates) {
    if (left <= maxBytes_ / 8 * kKeptEighths) {
      break;
    }
    rejected.push_back(id);
    left -= bytes;
  }
  return rejected;
}

void
JobMemory::SetHeldBytes(std::size_t aBytes)
{
  heldBytes_ = aBytes;
  if (changed_) {
    changed_(heldBytes_);
  }
}

}
