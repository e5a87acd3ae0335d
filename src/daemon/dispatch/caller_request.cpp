#include "daemon/dispatch/caller_request.h"

#include "state/dispatch/dispatch_job_memory.h"

namespace greengage::daemon {

std::size_t
MemoryOf(const CallerRequest& aRequest)
{
  return sizeof(aRequest) + aRequest.host.capacity() +
         aRequest.path.capacity() + state::OwnedMemory(aRequest.job);
}

}
