#pragma once

#include <functional>
#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "coordination/configuration/configuration_fold.h"
#include "coordination/configuration/configuration_publisher.h"
#include "coordination/coordination_error.h"
#include "coordination/messages.h"

namespace greengage::coordination {

/** Records per read; limits how long one read occupies the control thread. */
inline constexpr std::uint32_t kLogReadLimit = 256;

/** Limit of the bytes of records in one ConfigurationRecords message. */
inline constexpr std::size_t kMaxTransferBytes = 64 * 1024;

/** Limit of live documents of all kinds together; more are refused. */
inline constexpr std::size_t kMaxDocuments = 10'000;

/** Input and output operations and callbacks of a ConfigurationFollower. */
struct ConfigurationFollowerHooks
{
  /**
   * Reads at most aLimit records from offset aFrom on. The result arrives
   * through OnLogPage() or OnLogReadFailed().
   */
  std::function<void(std::uint64_t aFrom, std::uint32_t aLimit)> readLog;
  /**
   * Appends a record to the log at the expected offset. The result arrives
   * through OnAppended() with the same ticket.
   */
  std::function<void(std::uint64_t aTicket,
                     std::uint64_t aExpectedOffset,
                     std::string aData)>
    appendLog;
  std::function<void(const state::ProcessId& aPeer, ConfigurationPull)>
    pullFromPeer;
  std::function<tl::expected<LogContent, CoordinationError>(
    std::string_view aData)>
    decode;
  std::function<std::string(const LogContent& aContent)> encode;
  /** A new version of a document, or its deletion, took effect. */
  std::function<void(const state::ConfigurationChange&)> documentChanged;
  std::function<void(const OwnershipRecord&)> ownershipRecord;
  std::function<void(const OwnershipActivated&)> activatedRecord;
  /** A record was skipped because it cannot be decoded. */
  std::function<void(std::uint64_t aOffset, const CoordinationError&)>
    badRecord;
  /** The log became available or unavailable. */
  std::function<void(bool aAvailable)> logAvailable;
  /** Random bits, for jitter and the choice of a peer. */
  std::function<std::uint64_t()> random;
};

/** Settings of a ConfigurationFollower. */
struct ConfigurationFollowerSettings
{
  /** False for a process that gets the configuration from peers only. */
  bool hasLog = true;
  std::chrono::milliseconds pollPeriod{ 500 };
  /**
   * Time between two pulls from peers while gossip reports no newer version.
   * With 2 s a change reaches a process within 500 ms + 2 s without any gossip.
   */
  std::chrono::milliseconds peerPullPeriod{ 2000 };
  /** Maximum age of the records that the log retains. */
  std::chrono::milliseconds retention = std::chrono::hours(24 * 7);
  /** Number of records that the log retains; 0 means no limit by number. */
  std::uint64_t retentionRecords = 0;

  bool operator==(const ConfigurationFollowerSettings&) const = default;
};

/**
 * Keeps the configuration of one process up to date, from the log or, while
 * the log is unavailable, from peers, and publishes changes. The configuration
 * never returns to an older version. Used by the control thread only.
 */
class ConfigurationFollower
{
public:
  ConfigurationFollower(const state::Clock& aClock,
                        const ConfigurationFollowerSettings& aSettings,
                        ConfigurationFollowerHooks aHooks);

  /**
   * Reads the log or pulls from a peer when that is due, and ends overdue
   * publications. Call about every 50 ms.
   */
  void Tick();

  /** aDone is called once, within kPublishTimeout, possibly in this call. */
  void Publish(const state::ConfigurationChange& aChange, PublishDone aDone);
  void ProposeOwnership(const OwnershipRecord& aRecord,
                        PublishDone aDone = nullptr);
  void ProposeActivated(const OwnershipActivated& aRecord,
                        PublishDone aDone = nullptr);

  /**
   * Sets whether this process appends new copies of live records before the
   * log drops them. One process does so: the owner of shard 0.
   */
  void SetCarrier(bool aCarrier) { isCarrier_ = aCarrier; }

  void OnLogPage(const LogPage& aPage);
  void OnLogReadFailed();
  void OnAppended(std::uint64_t aTicket, AppendStatus aStatus);

  /** Sets the peers to pull from periodically while the log is unavailable. */
  void SetPeers(std::vector<state::ProcessId> aPeers);
  /** Gossip reported that a peer has this version. */
  void OnPeerVersion(const state::ProcessId& aPeer, std::uint64_t aVersion);
  /**
   * Returns the reply to a pull: one message of limited size. The peer pulls
   * again until a reply contains nothing new.
   */
  ConfigurationRecords OnPull(const ConfigurationPull& aPull) const;
  void OnRecords(const state::ProcessId& aPeer,
                 const ConfigurationRecords& aRecords);

  std::uint64_t Version() const { return fold_.Version(); }
  const ConfigurationFold& Fold() const { return fold_; }
  /** False while reads of the log fail, or if the process has no log. */
  bool LogAvailable() const { return settings_.hasLog && failures_ == 0; }
  std::uint64_t BadRecords() const { return fold_.SkippedRecords(); }
  bool HasPendingPublications() const { return !publisher_.IsIdle(); }

private:
  void StartRead();
  void RequestRead();
  void AdvancePublications();
  void FoldPage(const LogPage& aPage);
  void FinishRead(const LogPage& aPage);
  void AdoptRebuilt();
  void CarryForward(const LogPage& aPage);
  void PullFromAnyPeer();
  /** False while fold_ contains records from peers or is being rebuilt. */
  bool IsFoldedFromLog() const { return settings_.hasLog && !rebuilt_; }
  std::optional<LogContent> Decode(std::uint64_t aOffset,
                                   std::string_view aData);
  void NotifyApplied(const LiveRecord& aRecord);

  const state::Clock& clock_;
  ConfigurationFollowerSettings settings_;
  ConfigurationFollowerHooks hooks_;
  ConfigurationPublisher publisher_;
  /** The current configuration. */
  ConfigurationFold fold_;
  /**
   * A fold that is built from the oldest record of the log on and that
   * replaces fold_ when it has reached the end of the log.
   */
  std::optional<ConfigurationFold> rebuilt_;
  bool reading_ = false;
  bool readAgain_ = false;
  bool isCarrier_ = false;
  unsigned failures_ = 0;
  state::MonotonicTime nextRead_;
  state::MonotonicTime lastFailure_;
  state::MonotonicTime nextPull_;
  state::MonotonicTime nextGossipPull_;
  std::vector<state::ProcessId> peers_;
};

}
