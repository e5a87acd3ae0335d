#include "state/dispatch/dispatch_job_memory.h"

namespace greengage::state {

std::size_t
OwnedMemory(const DispatchJob& aJob)
{
  std::size_t bytes = aJob.payload.capacity();
  for (const DispatchStep& step : aJob.steps) {
    bytes += sizeof(step) + step.requiredLabel.capacity() +
             step.dataRack.capacity() +
             step.after.capacity() * sizeof(std::uint32_t);
  }
  return bytes;
}

}
