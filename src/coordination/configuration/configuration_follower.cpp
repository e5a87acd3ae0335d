#include "coordination/configuration/configuration_follower.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

// Lower than the target of 4 s minus the time of one read, so that a change
// made right after an outage takes effect within the target.
constexpr milliseconds kMaxReadBackoff{ 2000 };
constexpr milliseconds kPublishReadBackoff{ 200 };
// Limits the pulls, as many peers report a new version at about the same time.
constexpr milliseconds kGossipPullPeriod{ 200 };
constexpr unsigned kMaxDoublings = 8;
constexpr unsigned kJitterPercent = 20;

/** Returns 80% to 100% of the period, so that processes do not align. */
milliseconds
WithJitter(milliseconds aPeriod, std::uint64_t aRandom)
{
  auto percent = 100 - static_cast<int>(aRandom % (kJitterPercent + 1));
  return aPeriod * percent / 100;
}

}

ConfigurationFollower::ConfigurationFollower(
  const state::Clock& aClock,
  const ConfigurationFollowerSettings& aSettings,
  ConfigurationFollowerHooks aHooks)
  : clock_(aClock)
  , settings_(aSettings)
  , hooks_(std::move(aHooks))
  , publisher_(aClock,
               { [this](std::uint64_t aTicket,
                        std::uint64_t aOffset,
                        const LogContent& aContent) {
                  hooks_.appendLog(aTicket, aOffset, hooks_.encode(aContent));
                },
                 [this] { RequestRead(); } })
{
  if (settings_.hasLog) {
    rebuilt_.emplace();
  }
}

void
ConfigurationFollower::Tick()
{
  auto now = clock_.MonotonicNow();
  if (settings_.hasLog && !reading_ && now >= nextRead_) {
    StartRead();
  }
  if (!LogAvailable() && now >= nextPull_) {
    PullFromAnyPeer();
  }
  AdvancePublications();
}

void
ConfigurationFollower::AdvancePublications()
{
  // During an outage nothing is sent, so that a refused publication certainly
  // does not take effect.
  if (IsFoldedFromLog() && LogAvailable()) {
    publisher_.Advance(fold_);
    return;
  }
  publisher_.EndOverdue();
  if (!publisher_.IsIdle()) {
    RequestRead();
  }
}

void
ConfigurationFollower::Publish(const state::ConfigurationChange& aChange,
                               PublishDone aDone)
{
  if (!settings_.hasLog) {
    aDone({ state::RefusalCode::eLogUnavailable,
            state::RunState::eNotRun,
            "no address of the platform's log is configured" });
    return;
  }
  const auto& documents = fold_.Documents();
  if (!documents.Find(aChange.key) && documents.All().size() >= kMaxDocuments) {
    aDone({ state::RefusalCode::eBadRequest,
            state::RunState::eNotRun,
            fmt::format("at most {} documents are allowed", kMaxDocuments) });
    return;
  }
  publisher_.Propose(aChange, std::move(aDone));
  AdvancePublications();
}

void
ConfigurationFollower::ProposeOwnership(const OwnershipRecord& aRecord,
                                        PublishDone aDone)
{
  publisher_.Propose(
    aRecord, aDone ? std::move(aDone) : [](const PublishOutcome&) {});
}

void
ConfigurationFollower::ProposeActivated(const OwnershipActivated& aRecord,
                                        PublishDone aDone)
{
  publisher_.Propose(
    aRecord, aDone ? std::move(aDone) : [](const PublishOutcome&) {});
}

void
ConfigurationFollower::OnAppended(std::uint64_t aTicket, AppendStatus aStatus)
{
  publisher_.OnAppended(aTicket, aStatus);
}

void
ConfigurationFollower::StartRead()
{
  reading_ = true;
  readAgain_ = false;
  publisher_.OnReadStarted();
  hooks_.readLog(rebuilt_ ? rebuilt_->Version() : fold_.Version(),
                 kLogReadLimit);
}

void
ConfigurationFollower::RequestRead()
{
  if (reading_) {
    readAgain_ = true;
    return;
  }
  if (failures_ > 0) {
    // Not at once, because otherwise a log that refuses connections would be
    // flooded.
    nextRead_ = std::min(nextRead_, lastFailure_ + kPublishReadBackoff);
    return;
  }
  StartRead();
}

void
ConfigurationFollower::OnLogReadFailed()
{
  reading_ = false;
  if (failures_ == 0) {
    hooks_.logAvailable(false);
  }
  failures_ = std::min(failures_ + 1, kMaxDoublings);
  auto backoff =
    std::min(settings_.pollPeriod * (1 << failures_), kMaxReadBackoff);
  lastFailure_ = clock_.MonotonicNow();
  nextRead_ = lastFailure_ + WithJitter(backoff, hooks_.random());
}

void
ConfigurationFollower::OnLogPage(const LogPage& aPage)
{
  reading_ = false;
  if (failures_ > 0) {
    hooks_.logAvailable(true);
  }
  failures_ = 0;
  std::uint64_t position = rebuilt_ ? rebuilt_->Version() : fold_.Version();
  if (aPage.firstOffset > position) {
    // The log has dropped records that this process has not read. Live records
    // were carried forward, so that a fold of the remaining records contains
    // all of them, and no key that was deleted in the gap.
    rebuilt_.emplace(aPage.firstOffset);
  }
  FoldPage(aPage);
  FinishRead(aPage);
}

void
ConfigurationFollower::FoldPage(const LogPage& aPage)
{
  ConfigurationFold& fold = rebuilt_ ? *rebuilt_ : fold_;
  for (const LogRecord& record : aPage.records) {
    std::uint64_t offset = record.position.offset;
    if (offset < fold.Version()) {
      continue;
    }
    if (offset > fold.Version()) {
      return;
    }
    auto content = Decode(offset, record.data);
    if (!content) {
      fold.Skip(offset);
      continue;
    }
    auto applied = fold.Apply(record.position, *content);
    if (applied && !rebuilt_) {
      NotifyApplied(*applied);
    }
  }
}

void
ConfigurationFollower::FinishRead(const LogPage& aPage)
{
  std::uint64_t position = rebuilt_ ? rebuilt_->Version() : fold_.Version();
  bool atEnd = position >= aPage.nextOffset;
  if (!atEnd) {
    bool progress = !aPage.records.empty();
    nextRead_ = clock_.MonotonicNow() +
                (progress ? milliseconds(0) : settings_.pollPeriod);
    if (progress) {
      StartRead();
    }
    return;
  }
  // A log that ends before the current version must not replace it.
  if (rebuilt_ && rebuilt_->Version() >= fold_.Version()) {
    AdoptRebuilt();
  }
  nextRead_ =
    clock_.MonotonicNow() + WithJitter(settings_.pollPeriod, hooks_.random());
  if (rebuilt_) {
    return;
  }
  fold_.DropExpired(aPage.firstOffset);
  publisher_.OnCaughtUp(fold_);
  CarryForward(aPage);
  if (readAgain_ && !reading_) {
    StartRead();
  }
}

void
ConfigurationFollower::AdoptRebuilt()
{
  ConfigurationFold before = std::exchange(fold_, std::move(*rebuilt_));
  rebuilt_.reset();
  auto keysNow = fold_.LiveDocumentKeys();
  for (const state::ConfigurationKey& key : before.LiveDocumentKeys()) {
    if (!keysNow.contains(key)) {
      NotifyApplied(state::ConfigurationChange{ "", key, 0, {} });
    }
  }
  std::vector<CarriedRecord> known;
  for (const PositionedRecord& record : before.LiveRecords()) {
    known.push_back(record.content);
  }
  for (const PositionedRecord& record : fold_.LiveRecords()) {
    if (std::find(known.begin(), known.end(), record.content) == known.end()) {
      NotifyApplied(record.content.record);
    }
  }
}

void
ConfigurationFollower::CarryForward(const LogPage& aPage)
{
  if (!isCarrier_ || !publisher_.IsIdle()) {
    return;
  }
  auto live = fold_.LiveRecords();
  if (live.empty()) {
    return;
  }
  // Sorted by offset, so the log drops the first one next.
  const state::RecordPosition& oldest = live.front().position;
  bool tooOld = clock_.WallNow() - oldest.time > settings_.retention / 2;
  bool tooManyNewer =
    settings_.retentionRecords != 0 &&
    aPage.nextOffset - oldest.offset > settings_.retentionRecords / 2;
  if (tooOld || tooManyNewer) {
    publisher_.Carry(live.front());
    publisher_.Advance(fold_);
  }
}

void
ConfigurationFollower::SetPeers(std::vector<state::ProcessId> aPeers)
{
  peers_ = std::move(aPeers);
}

void
ConfigurationFollower::OnPeerVersion(const state::ProcessId& aPeer,
                                     std::uint64_t aVersion)
{
  auto now = clock_.MonotonicNow();
  if (LogAvailable() || aVersion <= fold_.Version() || now < nextGossipPull_) {
    return;
  }
  nextGossipPull_ = now + kGossipPullPeriod;
  hooks_.pullFromPeer(aPeer, { fold_.Version() });
}

void
ConfigurationFollower::PullFromAnyPeer()
{
  if (peers_.empty()) {
    return;
  }
  const state::ProcessId& peer = peers_[hooks_.random() % peers_.size()];
  hooks_.pullFromPeer(peer, { fold_.Version() });
  nextPull_ = clock_.MonotonicNow() +
              WithJitter(settings_.peerPullPeriod, hooks_.random());
}

ConfigurationRecords
ConfigurationFollower::OnPull(const ConfigurationPull& aPull) const
{
  ConfigurationRecords reply;
  reply.version = fold_.Version();
  if (aPull.fromVersion >= fold_.Version()) {
    return reply;
  }
  std::size_t bytes = 0;
  for (const PositionedRecord& record : fold_.RecordsFrom(aPull.fromVersion)) {
    ConfigurationRecord item{ record.position.offset,
                              hooks_.encode(record.content) };
    if (bytes > 0 && bytes + item.data.size() > kMaxTransferBytes) {
      reply.version = reply.records.back().offset + 1;
      break;
    }
    bytes += item.data.size();
    reply.records.push_back(std::move(item));
  }
  if (aPull.fromVersion > 0 &&
      aPull.fromVersion < fold_.Documents().HistoryStart()) {
    LiveKeys live{ fold_.Version(), fold_.LiveDocumentKeys() };
    reply.records.push_back({ reply.version - 1, hooks_.encode(live) });
  }
  return reply;
}

void
ConfigurationFollower::OnRecords(const state::ProcessId& aPeer,
                                 const ConfigurationRecords& aRecords)
{
  if (LogAvailable() || aRecords.version <= fold_.Version()) {
    return;
  }
  for (const ConfigurationRecord& record : aRecords.records) {
    auto content = Decode(record.offset, record.data);
    if (!content) {
      continue;
    }
    for (const LiveRecord& applied :
         fold_.ApplyFromPeer({ record.offset, {} }, *content)) {
      NotifyApplied(applied);
    }
  }
  fold_.FinishPeerTransfer(aRecords.version);
  if (settings_.hasLog) {
    // Records from peers lack the history of changes, so the fold is rebuilt
    // when the log is available again.
    rebuilt_.emplace();
  }
  hooks_.pullFromPeer(aPeer, { fold_.Version() });
}

std::optional<LogContent>
ConfigurationFollower::Decode(std::uint64_t aOffset, std::string_view aData)
{
  auto content = hooks_.decode(aData);
  if (!content) {
    hooks_.badRecord(aOffset, content.error());
    return std::nullopt;
  }
  return *std::move(content);
}

void
ConfigurationFollower::NotifyApplied(const LiveRecord& aRecord)
{
  if (const auto* change = std::get_if<state::ConfigurationChange>(&aRecord)) {
    hooks_.documentChanged(*change);
  } else if (const auto* group = std::get_if<OwnershipRecord>(&aRecord)) {
    hooks_.ownershipRecord(*group);
  } else {
    hooks_.activatedRecord(std::get<OwnershipActivated>(aRecord));
  }
}

}
