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

/** Records per read; bounds the work between two other events. */
inline constexpr std::uint32_t kLogReadLimit = 256;

/** Bytes of records in one ConfigurationRecords message. */
inline constexpr std::size_t kMaxTransferBytes = 64 * 1024;

/** Live documents of all kinds together; more are refused. */
inline constexpr std::size_t kMaxDocuments = 10'000;

/** What a ConfigurationFollower may ask its surroundings to do. */
struct ConfigurationFollowerHooks
{
  /** Answered by OnLogPage() or OnLogReadFailed(). */
  std::function<void(std::uint64_t aFrom, std::uint32_t aLimit)> readLog;
  /** Answered by OnAppended() with the same ticket. */
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
  /** A document came into force or, if the change is a deletion, went. */
  std::function<void(const state::ConfigurationChange&)> changed;
  std::function<void(const OwnershipRecord&)> ownershipRecord;
  std::function<void(const OwnershipActivated&)> activatedRecord;
  /** A record was passed over because it cannot be decoded. */
  std::function<void(std::uint64_t aOffset, const CoordinationError&)>
    badRecord;
  /** The log answers again, or has stopped to answer. */
  std::function<void(bool aAvailable)> logAvailable;
  /** Random bits, for jitter and the choice of a peer. */
  std::function<std::uint64_t()> random;
};

/** How a process follows the log. */
struct ConfigurationFollowerSettings
{
  /** False for a process that only has peers. */
  bool hasLog = true;
  std::chrono::milliseconds pollPeriod{ 500 };
  /**
   * Time between two pulls from peers without a sign of a newer version. With
   * 2 s a change reaches a process within 500 ms + 2 s without any gossip.
   */
  std::chrono::milliseconds peerPullPeriod{ 2000 };
  /** Age at which the log drops a record. */
  std::chrono::milliseconds retention = std::chrono::hours(24 * 7);
  /** Number of records that the log keeps; 0: not limited by number. */
  std::uint64_t retentionRecords = 0;

  bool operator==(const ConfigurationFollowerSettings&) const = default;
};

/**
 * Keeps one process at the newest configuration, from the log or from peers,
 * and publishes changes. The configuration in force never goes back to an
 * older version. Used by the control thread only.
 */
class ConfigurationFollower
{
public:
  ConfigurationFollower(const state::Clock& aClock,
                        const ConfigurationFollowerSettings& aSettings,
                        ConfigurationFollowerHooks aHooks);

  /** Polls and ends overdue publications; call every 50 ms or so. */
  void Tick();

  /** aDone is called once, within kPublishWait, perhaps inside this call. */
  void Publish(const state::ConfigurationChange& aChange, PublishDone aDone);
  void ProposeOwnership(const OwnershipRecord& aRecord,
                        PublishDone aDone = nullptr);
  void ProposeActivated(const OwnershipActivated& aRecord,
                        PublishDone aDone = nullptr);

  /** One process, the owner of shard 0, carries live records forward. */
  void SetCarrier(bool aCarrier) { carrier_ = aCarrier; }

  void OnLogPage(const LogPage& aPage);
  void OnLogReadFailed();
  void OnAppended(std::uint64_t aTicket, AppendStatus aStatus);

  /** Peers to pull from when no version of theirs is known. */
  void SetPeers(std::vector<state::ProcessId> aPeers);
  /** Gossip shows that a peer has this version. */
  void OnPeerVersion(const state::ProcessId& aPeer, std::uint64_t aVersion);
  /** The reply to a pull: one bounded message; the peer pulls on. */
  ConfigurationRecords OnPull(const ConfigurationPull& aPull) const;
  void OnRecords(const state::ProcessId& aPeer,
                 const ConfigurationRecords& aRecords);

  std::uint64_t Version() const { return fold_.Version(); }
  const ConfigurationFold& Fold() const { return fold_; }
  /** False while reads of the log fail, or without a log. */
  bool LogAvailable() const { return settings_.hasLog && failures_ == 0; }
  std::uint64_t BadRecords() const { return fold_.SkippedRecords(); }
  bool HasOpenPublications() const { return !publisher_.IsIdle(); }

private:
  void StartRead();
  void RequestRead();
  void AdvancePublications();
  void FoldPage(const LogPage& aPage);
  void FinishRead(const LogPage& aPage);
  void AdoptRebuilt();
  void CarryForward(const LogPage& aPage);
  void PullFromAnyPeer();
  /** False while the fold in force does not come from the log. */
  bool IsFoldedFromLog() const { return settings_.hasLog && !rebuilt_; }
  std::optional<LogContent> Decode(std::uint64_t aOffset,
                                   std::string_view aData);
  void Announce(const LiveRecord& aRecord);

  const state::Clock& clock_;
  ConfigurationFollowerSettings settings_;
  ConfigurationFollowerHooks hooks_;
  ConfigurationPublisher publisher_;
  /** The configuration in force. */
  ConfigurationFold fold_;
  /** A fold from the oldest record on, until it replaces fold_. */
  std::optional<ConfigurationFold> rebuilt_;
  bool reading_ = false;
  bool readAgain_ = false;
  bool carrier_ = false;
  unsigned failures_ = 0;
  state::MonotonicTime nextRead_;
  state::MonotonicTime lastFailure_;
  state::MonotonicTime nextPull_;
  state::MonotonicTime nextGossipPull_;
  std::vector<state::ProcessId> peers_;
};

}
