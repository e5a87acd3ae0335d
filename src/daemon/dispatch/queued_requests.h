#pragma once

#include <cstddef>
#include <memory>
#include <mutex>

#include "transport/byte_budget.h"

namespace greengage::daemon {

/**
 * Memory of the decoded requests that wait for the control thread, as a part of
 * the budget of the process. May be used from any thread.
 */
class QueuedRequests
{
public:
  QueuedRequests(transport::ByteBudget& aBudget, std::size_t aMaxBytes);

  /**
   * Counts a request. Returns false if the requests that wait already use all
   * of the memory; a single request is accepted whatever its size.
   */
  bool TryAdd(std::size_t aBytes);
  void Remove(std::size_t aBytes);
  std::size_t HeldBytes() const;

private:
  const std::size_t maxBytes_;
  mutable std::mutex mutex_;
  std::size_t heldBytes_ = 0;
  std::unique_ptr<transport::ByteBudget::Account> account_;
};

}
