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

/** A record that stays live until a later record replaces or deletes it. */
using LiveRecord =
  std::variant<state::ConfigurationChange, OwnershipRecord, OwnershipActivated>;

/**
 * A copy of a live record. It is appended before the log drops the previous
 * copy, and peers use it to send live records to each other.
 */
struct CarriedRecord
{
  /** Offset of the original record + 1. */
  std::uint64_t version = 0;
  LiveRecord record;

  bool operator==(const CarriedRecord&) const = default;
};

/**
 * All keys that are live at a version. Only sent between peers. Keys that are
 * not listed were deleted, also if their tombstones no longer exist.
 */
struct LiveKeys
{
  std::uint64_t version = 0;
  std::set<state::ConfigurationKey> keys;

  bool operator==(const LiveKeys&) const = default;
};

/** Decoded content of one log record. */
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

/** Result of one read of the platform's log. */
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
  /** The expected offset already holds a record. */
  eConflict,
  /** The record was not appended; the log is unavailable at the moment. */
  eRefused,
  /** The reply was lost; the record may have been appended. */
  eUncertain,
};

}
