#include "state/dispatch/queue_index.h"

#include <algorithm>

namespace greengage::state {

QueueIndex::QueueIndex(const DispatchConfiguration& aConfiguration)
{
  for (const WorkQueue& queue : aConfiguration.queues) {
    byHost_[queue.host].push_back(&queue);
  }
  for (auto& [host, queues] : byHost_) {
    std::stable_sort(queues.begin(),
                     queues.end(),
                     [](const WorkQueue* aLeft, const WorkQueue* aRight) {
                       return aLeft->pathPrefix.size() >
                              aRight->pathPrefix.size();
                     });
  }
}

const WorkQueue*
QueueIndex::Find(const std::string& aHost, const std::string& aPath) const
{
  auto host = byHost_.find(aHost);
  if (host == byHost_.end()) {
    return nullptr;
  }
  auto queue = std::find_if(
    host->second.begin(), host->second.end(), [&](const WorkQueue* aQueue) {
      return aPath.starts_with(aQueue->pathPrefix);
    });
  return queue == host->second.end() ? nullptr : *queue;
}

}
