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

/** The newest document of a log, and where to read on. */
struct NewestDocument
{
  /** Empty if there is none yet. */
  std::optional<std::string> document;
  std::uint64_t nextOffset = 0;

  auto operator<=>(const NewestDocument&) const = default;
};

/** Documents appended since an offset, oldest first. */
struct DocumentPage
{
  std::vector<std::string> documents;
  std::uint64_t nextOffset = 0;

  auto operator<=>(const DocumentPage&) const = default;
};

enum class DocumentReadError
{
  /** The records at the offset are deleted; the newest one remains. */
  eExpired,
  eUnavailable,
};

struct DocumentFollowerHooks
{
  using Newest = tl::expected<NewestDocument, DocumentReadError>;
  using Page = tl::expected<DocumentPage, DocumentReadError>;

  std::function<void(std::function<void(Newest)>)> readNewest;
  /** Answers as soon as there is a record, or empty after the wait. */
  std::function<void(std::uint64_t aFrom,
                     std::chrono::milliseconds aWait,
                     std::function<void(Page)>)>
    readSince;
  std::function<void(const std::string&)> document;
  /** The log can be read again, or cannot be read any more. */
  std::function<void(bool aAvailable)> availability;
};

/**
 * Follows the documents of an operator in a log: the newest one at the start
 * and after a gap, then each new one by a long read. Used by the control thread
 * only.
 */
class DocumentFollower
{
public:
  DocumentFollower(const state::Clock& aClock, DocumentFollowerHooks aHooks);

  /** Call every 50 ms or more often; begins to read on the first call. */
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
  bool reading_ = false;
  bool available_ = true;
  bool hasDocument_ = false;
  std::optional<std::uint64_t> nextOffset_;
  state::MonotonicTime retryAt_;
  std::chrono::milliseconds retryDelay_;
};

}
