#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "state/clock.h"

namespace greengage::coordination {

/** The newest document of a log, and the offset of the next read. */
struct NewestDocument
{
  /** Empty if the log has no document yet. */
  std::optional<std::string> document;
  std::uint64_t nextOffset = 0;

  auto operator<=>(const NewestDocument&) const = default;
};

/** Documents appended since an offset, oldest first, and the next offset. */
struct DocumentPage
{
  std::vector<std::string> documents;
  std::uint64_t nextOffset = 0;
  /** True if the log has more records than this page. */
  bool hasMore = false;

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

  /** @param aTimeout until the first bytes of the answer */
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
  /** Called when the log becomes readable or unreadable. */
  std::function<void(bool aAvailable)> availability;
};

/**
 * Reads the configuration documents of an operator from a log: first the newest
 * one, then each new one by long polling. If documents are written faster than
 * they are read, or after a gap caused by deleted records, it continues with
 * the newest one. While reads fail, it asks without waiting for a document.
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
  void SetAvailable(bool aAvailable);

  const state::Clock& clock_;
  DocumentFollowerHooks hooks_;
  bool isReading_ = false;
  bool isAvailable_ = true;
  bool hasDocument_ = false;
  std::optional<std::uint64_t> nextOffset_;
  state::MonotonicTime readStartedAt_;
  state::MonotonicTime retryAt_;
  std::chrono::milliseconds retryDelay_;
};

}
