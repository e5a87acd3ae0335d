#include "coordination/document/document_follower.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/**
 * Time that a read waits for a new document. A read whose answer is lost is
 * only noticed at its timeout, and a change must take effect within 2 s of its
 * acknowledgement also then, so the two times together stay below 2 s.
 */
constexpr milliseconds kLongPollWait{ 1200 };
/**
 * Time for the first bytes of an answer, beyond the wait. An answer takes 4 ms,
 * or about 100 times as long from a slow store.
 */
constexpr milliseconds kAnswerTimeout{ 700 };
/** Time from the start of a failed read to the next one. */
constexpr milliseconds kFirstRetryDelay{ 150 };
constexpr milliseconds kMaxRetryDelay{ 600 };
/** Without a document no job can be served, so reads are not backed off. */
constexpr milliseconds kRetryDelayWithoutDocument{ 150 };

}

DocumentFollower::DocumentFollower(const state::Clock& aClock,
                                   DocumentFollowerHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , retryDelay_(kFirstRetryDelay)
{
}

void
DocumentFollower::Tick()
{
  if (isReading_ || clock_.MonotonicNow() < retryAt_) {
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
  isReading_ = true;
  readStartedAt_ = clock_.MonotonicNow();
  listed_.clear();
  hooks_.readNewest(kAnswerTimeout,
                    [this](const DocumentFollowerHooks::Newest& aNewest) {
                      isReading_ = aNewest && aNewest->hasMorePages;
                      OnNewest(aNewest);
                    });
}

void
DocumentFollower::ReadSince()
{
  isReading_ = true;
  readStartedAt_ = clock_.MonotonicNow();
  // A long poll that begins during an outage is not answered when the outage
  // ends, so the log is asked without a wait until it answers.
  auto wait = isAvailable_ ? kLongPollWait : milliseconds(0);
  hooks_.readSince(*nextOffset_,
                   { wait, wait + kAnswerTimeout },
                   [this](const DocumentFollowerHooks::Page& aPage) {
                     isReading_ = false;
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
  listed_.insert(
    listed_.end(), aNewest->evacuations.begin(), aNewest->evacuations.end());
  if (!aNewest->hasMorePages) {
    // The evacuations come first, so that no job of the document is placed
    // before they are known.
    SetEvacuation(WithRecords({}, listed_, aNewest->nextOffset));
  }
  if (aNewest->document) {
    hasDocument_ = true;
    hooks_.document(*aNewest->document);
  }
  if (aNewest->hasMorePages) {
    return;
  }
  nextOffset_ = aNewest->nextOffset;
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
  SetEvacuation(
    WithRecords(evacuation_, aPage->evacuations, aPage->nextOffset));
  for (const std::string& document : aPage->documents) {
    hasDocument_ = true;
    hooks_.document(document);
  }
  if (aPage->hasMore) {
    // Reading every document of a series on a slow link would take longer than
    // the series itself.
    ReadNewest();
  } else {
    ReadSince();
  }
}

void
DocumentFollower::SetEvacuation(state::EvacuationState aState)
{
  evacuation_ = std::move(aState);
  if (hooks_.evacuation) {
    hooks_.evacuation(evacuation_);
  }
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
  retryAt_ =
    readStartedAt_ + (hasDocument_ ? retryDelay_ : kRetryDelayWithoutDocument);
  retryDelay_ = std::min(2 * retryDelay_, kMaxRetryDelay);
}

void
DocumentFollower::SetAvailable(bool aAvailable)
{
  if (aAvailable) {
    retryDelay_ = kFirstRetryDelay;
  }
  if (isAvailable_ != aAvailable) {
    isAvailable_ = aAvailable;
    hooks_.availability(aAvailable);
  }
}

}
