#pragma once

#include <optional>

#include "coordination/configuration/configuration_record.h"
#include "coordination/ownership/configuration_ownership.h"

namespace greengage::coordination {

/** A live record and the position of its newest copy in the log. */
struct PositionedRecord
{
  state::RecordPosition position;
  CarriedRecord content;

  bool operator==(const PositionedRecord&) const = default;
};

/**
 * The configuration and ownership that result from folding the records of the
 * log in order. The version is the offset of the last folded record + 1 and
 * never decreases.
 */
class ConfigurationFold
{
public:
  /** @param aStartOffset oldest offset that the log still holds */
  explicit ConfigurationFold(std::uint64_t aStartOffset = 0);

  /**
   * Folds the record at offset Version(). Returns the live record that took
   * effect: the record itself, the live record inside a CarriedRecord, or
   * nothing.
   */
  std::optional<LiveRecord> Apply(const state::RecordPosition& aPosition,
                                  const LogContent& aContent);

  /** Skips a record that cannot be decoded. */
  void Skip(std::uint64_t aOffset);

  /**
   * Applies a record that a peer sent from its own fold. The version does not
   * change. Returns the live records that took effect.
   */
  std::vector<LiveRecord> ApplyFromPeer(const state::RecordPosition& aPosition,
                                        const LogContent& aContent);

  /**
   * Raises the version to aVersion after a peer sent all records below it.
   */
  void FinishPeerTransfer(std::uint64_t aVersion);

  /**
   * Drops the tombstones and change identifiers that are older than
   * aFirstOffset. Live records stay.
   */
  void DropExpired(std::uint64_t aFirstOffset);

  /**
   * Returns the live records and tombstones at aOffset and later, sorted by
   * offset.
   */
  std::vector<PositionedRecord> RecordsFrom(std::uint64_t aOffset) const;

  std::vector<PositionedRecord> LiveRecords() const;

  std::set<state::ConfigurationKey> LiveDocumentKeys() const;

  std::uint64_t Version() const { return version_; }
  /** Number of records that could not be decoded. */
  std::uint64_t SkippedRecords() const { return skippedRecords_; }
  const state::ConfigurationStore& Documents() const { return documents_; }
  const ConfigurationOwnership& Ownership() const { return ownership_; }

private:
  bool ApplyCarried(const state::RecordPosition& aPosition,
                    const CarriedRecord& aCarried);

  std::uint64_t version_;
  std::uint64_t skippedRecords_ = 0;
  state::ConfigurationStore documents_;
  ConfigurationOwnership ownership_;
};

}
