#include "daemon/dispatch/queued_requests.h"

namespace greengage::daemon {

using transport::ByteBudget;

QueuedRequests::QueuedRequests(ByteBudget& aBudget, std::size_t aMaxBytes)
  : maxBytes_(aMaxBytes)
  , account_(aBudget.Open(nullptr))
{
}

bool
QueuedRequests::TryAdd(std::size_t aBytes)
{
  std::lock_guard lock(mutex_);
  if (heldBytes_ > 0 && heldBytes_ + aBytes > maxBytes_) {
    return false;
  }
  heldBytes_ += aBytes;
  account_->Set(heldBytes_, ByteBudget::Eviction::eNever);
  return true;
}

void
QueuedRequests::Remove(std::size_t aBytes)
{
  std::lock_guard lock(mutex_);
  heldBytes_ -= aBytes;
  account_->Set(heldBytes_, ByteBudget::Eviction::eNever);
}

std::size_t
QueuedRequests::HeldBytes() const
{
  std::lock_guard lock(mutex_);
  return heldBytes_;
}

}
