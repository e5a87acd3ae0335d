#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/ownership/ownership_record.h"
#include "state/configuration_change.h"
#include "state/configuration_store.h"

namespace greengage::coordination {

/** A record that stays live until it is replaced. */
using LiveRecord =
  std::variant<state::ConfigurationChange, OwnershipRecord, OwnershipActivated>;

/**
 * A live record that is repeated before the log drops it, or that a peer
 * passes on.
 */
struct CarriedRecord
{
  /** Offset of the original record + 1. */
  std::uint64_t version = 0;
  LiveRecord record;

  bool operator==(const CarriedRecord&) const = default;
};

/**
 * Passed between peers only: every key that is live at a version. Keys that
 * are not listed were deleted, even if the tombstones are forgotten.
 */
struct LiveKeys
{
  std::uint64_t version = 0;
  std::set<state::ConfigurationKey> keys;

  bool operator==(const LiveKeys&) const = default;
};

/** Decoded content of one record. */
using LogContent = std::variant<state::ConfigurationChange,
                                OwnershipRecord,
                                OwnershipActivated,
                                CarriedRecord,
                                LiveKeys>;

/** One record as the platform's log returns it. */
struct LogRecord
{
  state::RecordPosition position;
  std::string data;

  auto operator<=>(const LogRecord&) const = default;
};

/** Part of the platform's log. */
struct LogPage
{
  /** Oldest offset that the log still holds. */
  std::uint64_t firstOffset = 0;
  /** Offset of the next append. */
  std::uint64_t nextOffset = 0;
  std::vector<LogRecord> records;

  bool operator==(const LogPage&) const = default;
};

enum class AppendStatus : std::uint8_t
{
  eAppended,
  /** Another record has the expected offset. */
  eConflict,
  /** Certainly not appended; the log cannot be used at the moment. */
  eRefused,
  /** The answer was lost; the record may have been appended. */
  eUncertain,
};

}
