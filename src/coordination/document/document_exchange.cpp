#include "coordination/document/document_exchange.h"

#include <algorithm>
#include <utility>

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/** Interval at which a peer is asked for its version. */
constexpr milliseconds kCheckPeriod{ 400 };
/** Without a document no job can be served. */
constexpr milliseconds kCheckPeriodWithoutDocument{ 150 };
/** Delay after a received document was not accepted. */
constexpr milliseconds kRejectedDelay{ 10'000 };
/**
 * Interval between the parts that an agent requests. Its copy is not urgent, so
 * it leaves more than half of a link of 2 Mbit/s free.
 */
constexpr milliseconds kKeeperPartInterval{ 75 };
/** Time without an answer after which another peer is asked. */
constexpr milliseconds kPartTimeout{ 700 };
/**
 * Size of a part. It takes 33 ms on a link of 2 Mbit/s, the slowest of the
 * users' sites, and other messages wait for one part at most.
 */
constexpr std::uint32_t kPartBytes = 8 * 1024;
/** Concurrent transfers from this process: bounds the bytes on its link. */
constexpr std::size_t kMaxTransfers = 2;
/** A transfer without a request for this time has ended. */
constexpr milliseconds kTransferTimeout{ 1000 };
/** Larger documents are refused; the store accepts 256 KiB. */
constexpr std::uint32_t kMaxDocumentBytes = 8 * 1024 * 1024;
/** Time that the store has to provide a small document. */
constexpr milliseconds kStoreHeadStart{ 600 };
/** Half of a link of 2 Mbit/s, in bytes per millisecond. */
constexpr std::uint32_t kSlowTransferBytesPerMs = 125;
/** Lost peers whose versions are kept, beside one for each peer. */
constexpr std::size_t kMaxFormerPeers = 64;
/** Advertised by a process that has no document yet. */
constexpr std::uint64_t kFirstAdvertisedVersion = 1;
/** Interval of changes of the advertised version. */
constexpr milliseconds kAdvertisePeriod{ 10'000 };

}

DocumentExchange::DocumentExchange(const state::Clock& aClock,
                                   DocumentExchangeHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , advertisedVersion_(kFirstAdvertisedVersion)
{
}

void
DocumentExchange::SetSelf(const ProcessInfo& aSelf)
{
  self_ = aSelf;
  peersChanged_ = true;
}

void
DocumentExchange::OnPeer(const ProcessInfo& aPeer)
{
  auto [peer, isNew] = peers_.try_emplace(aPeer.id, aPeer);
  if (isNew || peer->second != aPeer) {
    peer->second = aPeer;
    peersChanged_ = true;
  }
  if (isNew && TakesPart(aPeer.id)) {
    OnNewTaker(aPeer.id);
  }
}

void
DocumentExchange::OnPeerLost(const ProcessId& aPeer)
{
  peersChanged_ = peers_.erase(aPeer) > 0 || peersChanged_;
  transfers_.erase(aPeer);
  offered_.erase(aPeer);
  if (fetch_ && fetch_->peer == aPeer) {
    EndFetch("peer_lost");
  }
}

void
DocumentExchange::OnPeerVersion(const ProcessId& aPeer, std::uint64_t aVersion)
{
  bool isNew = !TakesPart(aPeer) && aVersion > 0;
  advertised_[aPeer] = aVersion;
  if (isNew) {
    OnNewTaker(aPeer);
  }
}

void
DocumentExchange::OnNewTaker(const ProcessId& aPeer)
{
  mayOffer_ = true;
  auto peer = peers_.find(aPeer);
  if (peer != peers_.end() && peer->second.role == ProcessRole::eAgent &&
      peer->second.dataCentre == self_.dataCentre) {
    // If this is the only entry and ends soon, the copy of the agent is the
    // only one while the store is unavailable.
    UpdatePeers();
    OfferDocument();
  }
}

void
DocumentExchange::SetDocument(std::uint64_t aVersion, std::string aDocument)
{
  version_ = aVersion;
  document_ = std::move(aDocument);
  newerSince_.reset();
  mayOffer_ = true;
  if (fetch_ && fetch_->version <= version_) {
    fetch_.reset();
  }
}

std::uint64_t
DocumentExchange::AdvertisedVersion()
{
  auto now = clock_.MonotonicNow();
  if (advertisedVersion_ < version_ &&
      now - advertisedAt_ >= kAdvertisePeriod) {
    advertisedVersion_ = version_;
    advertisedAt_ = now;
  }
  return advertisedVersion_;
}

void
DocumentExchange::OnRequest(const ProcessId& aFrom,
                            const DocumentRequest& aRequest)
{
  DocumentPart part = Status();
  part.offset = aRequest.offset;
  bool isTransfer = version_ != 0 && aRequest.version == version_ &&
                    aRequest.offset < document_.size();
  if (isTransfer && AdmitTransfer(aFrom)) {
    part.bytes = document_.substr(aRequest.offset, kPartBytes);
    if (aRequest.offset + part.bytes.size() == document_.size()) {
      transfers_.erase(aFrom);
    }
  }
  hooks_.answer(aFrom, part);
}

DocumentPart
DocumentExchange::Status() const
{
  return { version_, static_cast<std::uint32_t>(document_.size()), 0, {} };
}

bool
DocumentExchange::AdmitTransfer(const ProcessId& aPeer)
{
  auto now = clock_.MonotonicNow();
  std::erase_if(transfers_, [now](const auto& aTransfer) {
    return now - aTransfer.second >= kTransferTimeout;
  });
  if (!transfers_.contains(aPeer) && transfers_.size() >= kMaxTransfers) {
    return false;
  }
  transfers_[aPeer] = now;
  return true;
}

void
DocumentExchange::OnPart(const ProcessId& aFrom, const DocumentPart& aPart)
{
  if (fetch_ && fetch_->peer == aFrom) {
    OnFetchedPart(aPart);
  } else if (!fetch_) {
    OnStatus(aFrom, aPart);
  }
}

void
DocumentExchange::OnStatus(const ProcessId& aFrom, const DocumentPart& aPart)
{
  if (aPart.version <= version_ || !keepsDocument_) {
    return;
  }
  auto now = clock_.MonotonicNow();
  newerSince_ = newerSince_.value_or(now);
  if (now - *newerSince_ >= StoreHeadStart(aPart.totalBytes)) {
    StartFetch(aFrom, aPart);
  }
}

milliseconds
DocumentExchange::StoreHeadStart(std::uint32_t aBytes) const
{
  if (self_.role == ProcessRole::eAgent || !isStoreAvailable_) {
    return milliseconds(0);
  }
  return kStoreHeadStart + milliseconds(aBytes / kSlowTransferBytesPerMs);
}

void
DocumentExchange::StartFetch(const ProcessId& aFrom, const DocumentPart& aPart)
{
  if (aPart.totalBytes == 0 || aPart.totalBytes > kMaxDocumentBytes) {
    return;
  }
  fetch_ = Fetch{};
  fetch_->peer = aFrom;
  fetch_->version = aPart.version;
  fetch_->totalBytes = aPart.totalBytes;
  fetch_->startedAt = clock_.MonotonicNow();
  RequestNextPart();
}

void
DocumentExchange::RequestNextPart()
{
  fetch_->requestedAt = clock_.MonotonicNow();
  fetch_->nextRequestAt.reset();
  hooks_.request(
    fetch_->peer,
    { fetch_->version, static_cast<std::uint32_t>(fetch_->document.size()) });
}

void
DocumentExchange::OnFetchedPart(const DocumentPart& aPart)
{
  Fetch& fetch = *fetch_;
  if (aPart.version > fetch.version) {
    // The peer has a newer document now.
    StartFetch(ProcessId(fetch.peer), aPart);
    return;
  }
  bool isExpected =
    aPart.version == fetch.version && aPart.totalBytes == fetch.totalBytes &&
    aPart.offset == fetch.document.size() &&
    aPart.bytes.size() <= fetch.totalBytes - fetch.document.size();
  if (!isExpected) {
    EndFetch("malformed");
    return;
  }
  if (aPart.bytes.empty()) {
    EndFetch("refused");
    return;
  }
  fetch.document += aPart.bytes;
  if (fetch.document.size() < fetch.totalBytes) {
    if (self_.role == ProcessRole::eAgent) {
      fetch.nextRequestAt = clock_.MonotonicNow() + kKeeperPartInterval;
    } else {
      RequestNextPart();
    }
    return;
  }
  Fetch complete = *fetch_;
  EndFetch("complete");
  hooks_.received(complete.peer, complete.version, complete.document);
  if (version_ < complete.version) {
    nextCheckAt_ = clock_.MonotonicNow() + kRejectedDelay;
  }
}

void
DocumentExchange::EndFetch(const char* aOutcome)
{
  Fetch fetch = *std::exchange(fetch_, std::nullopt);
  if (hooks_.fetchEnded) {
    auto age = clock_.MonotonicNow() - fetch.startedAt;
    hooks_.fetchEnded({ fetch.peer,
                        fetch.version,
                        fetch.totalBytes,
                        static_cast<std::uint32_t>(fetch.document.size()),
                        aOutcome,
                        std::chrono::duration_cast<milliseconds>(age) });
  }
}

milliseconds
DocumentExchange::CheckPeriod() const
{
  return version_ == 0 ? kCheckPeriodWithoutDocument : kCheckPeriod;
}

void
DocumentExchange::UpdatePeers()
{
  if (!std::exchange(peersChanged_, false)) {
    return;
  }
  ForgetFormerPeers();
  keepsDocument_ = KeepsDocument(self_, peers_);
  sources_ = DocumentSources(self_, peers_);
  contacts_ = DocumentContacts(self_, peers_);
  keepersNear_ = DocumentKeepersNear(self_, peers_);
  mayOffer_ = true;
}

bool
DocumentExchange::TakesPart(const ProcessId& aPeer) const
{
  auto version = advertised_.find(aPeer);
  return version != advertised_.end() && version->second > 0;
}

void
DocumentExchange::OfferDocument()
{
  if (version_ == 0 || !std::exchange(mayOffer_, false)) {
    return;
  }
  std::vector<ProcessId> peers = contacts_;
  peers.insert(peers.end(), keepersNear_.begin(), keepersNear_.end());
  for (const ProcessId& peer : peers) {
    if (TakesPart(peer) && offered_[peer] < version_) {
      offered_[peer] = version_;
      hooks_.answer(peer, Status());
    }
  }
}

void
DocumentExchange::ForgetFormerPeers()
{
  // A peer that returns after a lost connection may not advertise its version
  // again, so the version of a lost peer is kept for some time.
  if (advertised_.size() > 2 * peers_.size() + kMaxFormerPeers) {
    std::erase_if(advertised_, [this](const auto& aPeer) {
      return !peers_.contains(aPeer.first);
    });
  }
}

std::optional<ProcessId>
DocumentExchange::ChoosePeer()
{
  // Without a document, contacts without one would only cost time.
  std::vector<ProcessId> candidates = version_ == 0 ? sources_ : contacts_;
  std::erase_if(candidates,
                [this](const ProcessId& aPeer) { return !TakesPart(aPeer); });
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[hooks_.random() % candidates.size()];
}

void
DocumentExchange::TickFetch()
{
  auto now = clock_.MonotonicNow();
  if (fetch_->nextRequestAt) {
    if (now >= *fetch_->nextRequestAt) {
      RequestNextPart();
    }
  } else if (now - fetch_->requestedAt >= kPartTimeout) {
    EndFetch("no_answer");
    nextCheckAt_ = now;
  }
}

void
DocumentExchange::Tick()
{
  auto now = clock_.MonotonicNow();
  UpdatePeers();
  OfferDocument();
  if (fetch_) {
    TickFetch();
    return;
  }
  if (now < nextCheckAt_) {
    return;
  }
  // The checks of processes that start together are spread over the period.
  auto period = CheckPeriod();
  nextCheckAt_ =
    now + period / 2 +
    milliseconds(hooks_.random() % static_cast<std::uint64_t>(period.count()));
  auto peer = ChoosePeer();
  if (peer && keepsDocument_) {
    hooks_.request(*peer, {});
  }
}

}
