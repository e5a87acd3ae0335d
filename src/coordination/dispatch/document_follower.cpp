#include "coordination/dispatch/document_follower.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/**
 * A change must be in force 2 s after it is acknowledged. A connection that
 * has gone silent is noticed when the wait is over, so the wait is kept near
 * that; each read is paid for, so it is not shorter.
 */
constexpr milliseconds kReadWait{ 3000 };
constexpr milliseconds kFirstRetry{ 150 };
constexpr milliseconds kLongestRetry{ 600 };
/** Without any document nothing can be served, so each read is worth it. */
constexpr milliseconds kRetryWithoutDocument{ 150 };

}

DocumentFollower::DocumentFollower(const state::Clock& aClock,
                                   DocumentFollowerHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , retryDelay_(kFirstRetry)
{
}

void
DocumentFollower::Tick()
{
  if (reading_ || clock_.MonotonicNow() < retryAt_) {
    return;
  }
  if (nextOffset_) {
    ReadSince();
  } else {
    ReadNewest();
  }
}

void
DocumentFollower::ReadNewest()
{
  reading_ = true;
  hooks_.readNewest([this](const DocumentFollowerHooks::Newest& aNewest) {
    reading_ = false;
    OnNewest(aNewest);
  });
}

void
DocumentFollower::ReadSince()
{
  reading_ = true;
  hooks_.readSince(
    *nextOffset_, kReadWait, [this](const DocumentFollowerHooks::Page& aPage) {
      reading_ = false;
      OnPage(aPage);
    });
}

void
DocumentFollower::OnNewest(const DocumentFollowerHooks::Newest& aNewest)
{
  if (!aNewest) {
    OnFailure(aNewest.error());
    return;
  }
  SetAvailable(true);
  nextOffset_ = aNewest->nextOffset;
  if (aNewest->document) {
    hasDocument_ = true;
    hooks_.document(*aNewest->document);
  }
  ReadSince();
}

void
DocumentFollower::OnPage(const DocumentFollowerHooks::Page& aPage)
{
  if (!aPage) {
    OnFailure(aPage.error());
    return;
  }
  SetAvailable(true);
  nextOffset_ = aPage->nextOffset;
  for (const std::string& document : aPage->documents) {
    hasDocument_ = true;
    hooks_.document(document);
  }
  ReadSince();
}

void
DocumentFollower::OnFailure(DocumentReadError aError)
{
  if (aError == DocumentReadError::eExpired) {
    nextOffset_.reset();
    ReadNewest();
    return;
  }
  SetAvailable(false);
  retryAt_ = clock_.MonotonicNow() +
             (hasDocument_ ? retryDelay_ : kRetryWithoutDocument);
  retryDelay_ = std::min(2 * retryDelay_, kLongestRetry);
}

void
DocumentFollower::SetAvailable(bool aAvailable)
{
  if (aAvailable) {
    retryDelay_ = kFirstRetry;
  }
  if (available_ != aAvailable) {
    available_ = aAvailable;
    hooks_.availability(aAvailable);
  }
}

}
