#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coordination/evacuation/evacuation_records.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * One page of the newest records of a log: the document and the requested
 * evacuations, if the page contains them, and the offset of the next read.
 */
struct NewestDocument
{
  /** Empty if the page does not contain the document. */
  std::optional<std::string> document;
  std::uint64_t nextOffset = 0;
  std::vector<EvacuationRecord> evacuations;
  /** True if a further page follows. */
  bool hasMorePages = false;

  auto operator<=>(const NewestDocument&) const = default;
};

/** Documents appended since an offset, oldest first, and the next offset. */
struct DocumentPage
{
  std::vector<std::string> documents;
  std::uint64_t nextOffset = 0;
  /** True if the log has more records than this page. */
  bool hasMore = false;
  std::vector<EvacuationRecord> evacuations;

  auto operator<=>(const DocumentPage&) const = default;
};

enum class DocumentReadError
{
  /** The records at the offset were deleted; the newest one remains. */
  eExpired,
  eUnavailable,
};

/** Time limits of a read of the records since an offset. */
struct DocumentReadLimits
{
  /** Time that the log waits for a record before it answers with none. */
  std::chrono::milliseconds wait{ 0 };
  /** Time until the first bytes of the answer, after which the read fails. */
  std::chrono::milliseconds timeout{ 0 };

  auto operator<=>(const DocumentReadLimits&) const = default;
};

struct DocumentFollowerHooks
{
  using Newest = tl::expected<NewestDocument, DocumentReadError>;
  using Page = tl::expected<DocumentPage, DocumentReadError>;

  /**
   * Calls the function with each page, or once with an error that ends the
   * read.
   * @param aTimeout until the first bytes of each page
   */
  std::function<void(std::chrono::milliseconds aTimeout,
                     std::function<void(Newest)>)>
    readNewest;
  /** Answers with the next record once it exists, or with none. */
  std::function<void(std::uint64_t aFrom,
                     const DocumentReadLimits&,
                     std::function<void(Page)>)>
    readSince;
  /** Called with each document that was read. */
  std::function<void(const std::string&)> document;
  /** Called with the evacuations at each offset; may be empty. */
  std::function<void(const state::EvacuationState&)> evacuation;
  /** Called when the log becomes readable or unreadable. */
  std::function<void(bool aAvailable)> availability;
};

/**
 * Reads the configuration documents and evacuations of an operator from a log:
 * first the newest records, then each new one by long polling. If records are
 * written faster than they are read, or after a gap caused by deleted records,
 * it continues with the newest ones. While reads fail, it asks without waiting
 * for a record.
 * Used by the control thread only.
 */
class DocumentFollower
{
public:
  DocumentFollower(const state::Clock& aClock, DocumentFollowerHooks aHooks);

  /** Must be called at least every 50 ms; the first call starts reading. */
  void Tick();

private:
  void ReadNewest();
  void ReadSince();
  void OnNewest(const DocumentFollowerHooks::Newest& aNewest);
  void OnPage(const DocumentFollowerHooks::Page& aPage);
  void OnFailure(DocumentReadError aError);
  /** Records evacuations that are complete up to the next offset. */
  void SetEvacuation(state::EvacuationState aState);
  void SetAvailable(bool aAvailable);

  const state::Clock& clock_;
  DocumentFollowerHooks hooks_;
  bool isReading_ = false;
  bool isAvailable_ = true;
  bool hasDocument_ = false;
  std::optional<std::uint64_t> nextOffset_;
  /** Evacuations of the pages of a listing that is not complete yet. */
  std::vector<EvacuationRecord> listed_;
  state::EvacuationState evacuation_;
  state::MonotonicTime readStartedAt_;
  state::MonotonicTime retryAt_;
  std::chrono::milliseconds retryDelay_;
};

}
