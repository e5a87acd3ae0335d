#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/document/document_messages.h"
#include "coordination/document/document_sources.h"
#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Record of an attempt to fetch a document from a peer, for the log. */
struct DocumentFetchRecord
{
  state::ProcessId peer;
  std::uint64_t version = 0;
  std::uint32_t totalBytes = 0;
  std::uint32_t receivedBytes = 0;
  /** "complete", "no_answer", "refused", "malformed" or "peer_lost". */
  const char* outcome = "";
  std::chrono::milliseconds age{ 0 };
};

struct DocumentExchangeHooks
{
  std::function<void(const state::ProcessId&, const DocumentRequest&)> request;
  std::function<void(const state::ProcessId&, const DocumentPart&)> answer;
  /**
   * Called with a document of a newer version than that of this process. The
   * receiver calls SetDocument() if it accepts the document.
   */
  std::function<void(const state::ProcessId& aFrom,
                     std::uint64_t aVersion,
                     const std::string& aDocument)>
    received;
  std::function<void(const DocumentFetchRecord&)> fetchEnded;
  /** Returns a uniform random number. */
  std::function<std::uint64_t()> random;
};

/**
 * Copies the configuration document between processes, on request only: an
 * entry that reads the store gets no copy. A process offers a new version to a
 * few others, and asks them periodically for the version that they have. It
 * fetches a newer document in parts if the store does not provide it in time.
 * Agents do not read the store; those that keep a copy fetch it at once. Used
 * by the control thread only.
 */
class DocumentExchange
{
public:
  DocumentExchange(const state::Clock& aClock, DocumentExchangeHooks aHooks);

  /** Must be called before Tick(). */
  void SetSelf(const ProcessInfo& aSelf);
  void OnPeer(const ProcessInfo& aPeer);
  void OnPeerLost(const state::ProcessId& aPeer);
  /**
   * Records the version that a peer advertises. Peers that advertise 0 are sent
   * nothing: they run a version of this program without this exchange.
   */
  void OnPeerVersion(const state::ProcessId& aPeer, std::uint64_t aVersion);
  /** Returns true if the peer understands the messages of this exchange. */
  bool TakesPart(const state::ProcessId& aPeer) const;
  /** Records whether the store answers; until the first call, it does. */
  void SetStoreAvailable(bool aAvailable) { isStoreAvailable_ = aAvailable; }

  /** Records the document in force at this process. */
  void SetDocument(std::uint64_t aVersion, std::string aDocument);
  /** Version in force at this process; 0: none. */
  std::uint64_t Version() const { return version_; }
  /**
   * Version to advertise to all processes; never 0. It follows Version() with a
   * delay, so that frequent changes do not cause a message to every process.
   */
  std::uint64_t AdvertisedVersion();

  void OnRequest(const state::ProcessId& aFrom,
                 const DocumentRequest& aRequest);
  void OnPart(const state::ProcessId& aFrom, const DocumentPart& aPart);

  /** Must be called at least every 50 ms. */
  void Tick();

private:
  struct Fetch
  {
    state::ProcessId peer;
    std::uint64_t version = 0;
    std::uint32_t totalBytes = 0;
    std::string document;
    state::MonotonicTime startedAt;
    state::MonotonicTime requestedAt;
    /** Time of the next request, if the last one is answered. */
    std::optional<state::MonotonicTime> nextRequestAt;
  };

  std::chrono::milliseconds CheckPeriod() const;
  /** Returns the time that the store has to provide a newer document. */
  std::chrono::milliseconds StoreHeadStart(std::uint32_t aBytes) const;
  /** Offers the document to a peer that has begun to take part. */
  void OnNewTaker(const state::ProcessId& aPeer);
  /** Updates what depends on peers_ if these have changed. */
  void UpdatePeers();
  void ForgetFormerPeers();
  /** Offers the version in force to the peers that were not offered it yet. */
  void OfferDocument();
  /** Returns the version in force, without a part of the document. */
  DocumentPart Status() const;
  /** Returns a random peer to ask; empty if there is none. */
  std::optional<state::ProcessId> ChoosePeer();
  void OnStatus(const state::ProcessId& aFrom, const DocumentPart& aPart);
  void OnFetchedPart(const DocumentPart& aPart);
  void StartFetch(const state::ProcessId& aFrom, const DocumentPart& aPart);
  void RequestNextPart();
  /** Continues or ends the fetch in progress. */
  void TickFetch();
  void EndFetch(const char* aOutcome);
  /** Returns true if a further peer may fetch the document from this one. */
  bool AdmitTransfer(const state::ProcessId& aPeer);

  const state::Clock& clock_;
  DocumentExchangeHooks hooks_;
  ProcessInfo self_;
  Processes peers_;
  std::map<state::ProcessId, std::uint64_t> advertised_;
  /** Results of the functions in document_sources.h for peers_. */
  std::vector<state::ProcessId> sources_;
  std::vector<state::ProcessId> contacts_;
  std::vector<state::ProcessId> keepersNear_;
  bool peersChanged_ = false;
  /** Versions offered to peers, and whether there may be more to offer. */
  std::map<state::ProcessId, std::uint64_t> offered_;
  bool mayOffer_ = false;
  bool keepsDocument_ = true;

  bool isStoreAvailable_ = true;
  std::uint64_t version_ = 0;
  std::string document_;
  std::uint64_t advertisedVersion_;
  state::MonotonicTime advertisedAt_;

  state::MonotonicTime nextCheckAt_;
  /** Time at which a newer version became known. */
  std::optional<state::MonotonicTime> newerSince_;
  std::optional<Fetch> fetch_;
  /** Peers that fetch the document from this process: their last requests. */
  std::map<state::ProcessId, state::MonotonicTime> transfers_;
};

}
