#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "state/dispatch/dispatch_configuration.h"

namespace greengage::state {

/**
 * Finds the queue of a request in a time that does not grow with the number of
 * hosts. Refers to the queues of a configuration, which must outlive it.
 */
class QueueIndex
{
public:
  QueueIndex() = default;
  explicit QueueIndex(const DispatchConfiguration& aConfiguration);

  /** Returns the queue with the longest matching prefix; null if none matches.
   */
  const WorkQueue* Find(const std::string& aHost,
                        const std::string& aPath) const;

private:
  /** Queues of each host, those with the longest prefix first. */
  std::unordered_map<std::string, std::vector<const WorkQueue*>> byHost_;
};

}
