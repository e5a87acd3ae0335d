#pragma once

#include <optional>

#include "coordination/configuration/configuration_record.h"
#include "coordination/ownership/configuration_ownership.h"

namespace greengage::coordination {

/** A live record together with the position of its newest copy. */
struct PositionedRecord
{
  state::RecordPosition record;
  CarriedRecord content;

  bool operator==(const PositionedRecord&) const = default;
};

/**
 * Configuration and ownership at one version of the log. The version is the
 * offset of the last record + 1 and never decreases.
 */
class ConfigurationFold
{
public:
  /** aStartOffset is the oldest offset that the log held. */
  explicit ConfigurationFold(std::uint64_t aStartOffset = 0);

  /**
   * Folds the record at Version(). Returns what came into force: the record,
   * the carried record, or nothing.
   */
  std::optional<LiveRecord> Apply(const state::RecordPosition& aPosition,
                                  const LogContent& aContent);

  /** Passes over a record that cannot be decoded. */
  void Skip(std::uint64_t aOffset);

  /**
   * Takes over a record that a peer folded; the version does not change.
   * Returns what came into force.
   */
  std::vector<LiveRecord> Transfer(const state::RecordPosition& aPosition,
                                   const LogContent& aContent);

  /** Everything below aVersion is known from a peer. */
  void FinishTransfer(std::uint64_t aVersion);

  /** Forgets what the log has dropped, except live records. */
  void DropExpired(std::uint64_t aFirstOffset);

  /** Live records and tombstones from an offset on, in order of offset. */
  std::vector<PositionedRecord> RecordsFrom(std::uint64_t aOffset) const;

  std::vector<PositionedRecord> LiveRecords() const;

  std::set<state::ConfigurationKey> LiveDocumentKeys() const;

  std::uint64_t Version() const { return version_; }
  /** Records that could not be decoded. */
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
