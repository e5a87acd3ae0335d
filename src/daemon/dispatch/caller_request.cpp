#include "daemon/dispatch/caller_request.h"

namespace greengage::daemon {

std::size_t
MemoryOf(const CallerRequest& aRequest)
{
  std::size_t bytes = sizeof(aRequest) + aRequest.host.capacity() +
                      aRequest.path.capacity() +
                      aRequest.job.payload.capacity();
  for (const state::DispatchStep& step : aRequest.job.steps) {
    bytes += sizeof(step) + step.requiredLabel.capacity() +
             step.dataRack.capacity() +
             step.after.capacity() * sizeof(std::uint32_t);
  }
  return bytes;
}

}
