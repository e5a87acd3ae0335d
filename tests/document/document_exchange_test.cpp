#include "coordination/document/document_exchange.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "coordination/simulation/virtual_clock.h"

namespace greengage::coordination {
namespace {

using state::ProcessId;
using std::chrono::milliseconds;

class DocumentExchangeTest : public ::testing::Test
{
protected:
  static constexpr ProcessId kSelf{ 1, 1 };
  static constexpr ProcessId kPeer{ 2, 2 };

  DocumentExchangeTest()
  {
    exchange_.SetSelf(Describe(kSelf, ProcessRole::eEntry));
    exchange_.OnPeer(Describe(kPeer, ProcessRole::eEntry));
    exchange_.OnPeerVersion(kPeer, 1);
  }

  static ProcessInfo Describe(const ProcessId& aId, ProcessRole aRole)
  {
    ProcessInfo info;
    info.id = aId;
    info.role = aRole;
    info.dataCentre = "here";
    return info;
  }

  DocumentExchangeHooks Hooks()
  {
    DocumentExchangeHooks hooks;
    hooks.request = [this](const ProcessId&, const DocumentRequest& aRequest) {
      requests_.push_back(aRequest);
    };
    hooks.answer = [this](const ProcessId&, const DocumentPart& aPart) {
      answers_.push_back(aPart);
    };
    hooks.received = [this](const ProcessId&,
                            std::uint64_t aVersion,
                            const std::string& aDocument) {
      received_.push_back(aDocument);
      if (accepts_) {
        exchange_.SetDocument(aVersion, aDocument);
      }
    };
    hooks.fetchEnded = [this](const DocumentFetchRecord& aRecord) {
      outcomes_.emplace_back(aRecord.outcome);
    };
    hooks.random = [] { return std::uint64_t{ 0 }; };
    return hooks;
  }

  void Wait(milliseconds aTime)
  {
    for (auto end = time_ + aTime; time_ < end;) {
      time_ += milliseconds(25);
      exchange_.Tick();
    }
  }

  /** Answers requests for parts of a document until none is open. */
  void ServeParts(std::uint64_t aVersion, const std::string& aDocument)
  {
    while (!requests_.empty() && requests_.back().version == aVersion) {
      DocumentRequest request = requests_.back();
      requests_.clear();
      exchange_.OnPart(kPeer,
                       { aVersion,
                         static_cast<std::uint32_t>(aDocument.size()),
                         request.offset,
                         aDocument.substr(request.offset, 5000) });
    }
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::vector<DocumentRequest> requests_;
  std::vector<DocumentPart> answers_;
  std::vector<std::string> received_;
  std::vector<std::string> outcomes_;
  bool accepts_ = true;
  DocumentExchange exchange_{ clock_, Hooks() };
};

// Guards against entries that fetch a copy although the store provides the
// document a moment later.
TEST_F(DocumentExchangeTest, StoreHasAHeadStart)
{
  exchange_.OnPart(kPeer, { 7, 20'000, 0, {} });
  Wait(milliseconds(500));
  exchange_.OnPart(kPeer, { 7, 20'000, 0, {} });
  for (const DocumentRequest& request : requests_) {
    EXPECT_EQ(request.version, 0u);
  }
  exchange_.SetDocument(7, std::string(20'000, 'x'));
  Wait(milliseconds(2000));
  exchange_.OnPart(kPeer, { 7, 20'000, 0, {} });
  EXPECT_TRUE(outcomes_.empty());
  EXPECT_TRUE(received_.empty());
}

// Guards against a document that is never fetched from a peer if the store
// stops answering without an error.
TEST_F(DocumentExchangeTest, FetchesInPartsAfterTheHeadStart)
{
  std::string document(20'000, 'd');
  exchange_.OnPart(kPeer, { 7, 20'000, 0, {} });
  Wait(milliseconds(1000));
  requests_.clear();
  exchange_.OnPart(kPeer, { 7, 20'000, 0, {} });
  ASSERT_EQ(requests_.size(), 1u);
  ServeParts(7, document);
  EXPECT_EQ(received_, std::vector<std::string>{ document });
  EXPECT_EQ(exchange_.Version(), 7u);
  EXPECT_EQ(outcomes_, std::vector<std::string>{ "complete" });
}

// Guards against waiting for a store that is known to be unavailable.
TEST_F(DocumentExchangeTest, FetchesAtOnceWithoutTheStore)
{
  exchange_.SetStoreAvailable(false);
  exchange_.OnPart(kPeer, { 7, 100, 0, {} });
  ASSERT_EQ(requests_.size(), 1u);
  EXPECT_EQ(requests_[0], (DocumentRequest{ 7, 0 }));
}

// Guards against a return to an older version.
TEST_F(DocumentExchangeTest, NeverFetchesAnOlderVersion)
{
  exchange_.SetStoreAvailable(false);
  exchange_.SetDocument(8, "{}");
  exchange_.OnPart(kPeer, { 7, 100, 0, {} });
  exchange_.OnPart(kPeer, { 8, 100, 0, {} });
  EXPECT_TRUE(requests_.empty());
}

// Guards against a fetch that waits for a peer that does not answer or is gone.
TEST_F(DocumentExchangeTest, UnansweredFetchEnds)
{
  exchange_.SetStoreAvailable(false);
  exchange_.OnPart(kPeer, { 7, 100, 0, {} });
  Wait(milliseconds(800));
  EXPECT_EQ(outcomes_, std::vector<std::string>{ "no_answer" });
  exchange_.OnPart(kPeer, { 7, 100, 0, {} });
  exchange_.OnPeerLost(kPeer);
  EXPECT_EQ(outcomes_.back(), "peer_lost");
}

// Guards against parts that do not fit the document: of another peer, at
// another offset, longer than announced, or of an odd size.
TEST_F(DocumentExchangeTest, MalformedPartsEndTheFetch)
{
  exchange_.SetStoreAvailable(false);
  const std::vector<DocumentPart> odd{ { 7, 100, 50, "x" },
                                       { 7, 101, 0, "x" },
                                       { 7, 100, 0, std::string(101, 'x') },
                                       { 6, 100, 0, "x" } };
  for (const DocumentPart& part : odd) {
    exchange_.OnPart(kPeer, { 7, 100, 0, {} });
    exchange_.OnPart({ 9, 9 }, part);
    exchange_.OnPart(kPeer, part);
    EXPECT_EQ(outcomes_.back(), "malformed");
  }
  EXPECT_EQ(outcomes_.size(), odd.size());
  EXPECT_TRUE(received_.empty());
  requests_.clear();
  exchange_.OnPart(kPeer, { 7, 0, 0, {} });
  exchange_.OnPart(kPeer, { 7, 0xffff'ffff, 0, {} });
  EXPECT_TRUE(requests_.empty());
}

// Guards against a transfer of an outdated version to its end when the peer has
// a newer one meanwhile.
TEST_F(DocumentExchangeTest, NewerVersionReplacesTheFetch)
{
  exchange_.SetStoreAvailable(false);
  exchange_.OnPart(kPeer, { 7, 10'000, 0, {} });
  exchange_.OnPart(kPeer, { 8, 100, 0, {} });
  requests_.erase(requests_.begin());
  ServeParts(8, std::string(100, 'n'));
  EXPECT_EQ(exchange_.Version(), 8u);
}

// Guards against fetching a document that cannot be used again and again.
TEST_F(DocumentExchangeTest, RejectedDocumentIsNotFetchedAgainAtOnce)
{
  accepts_ = false;
  exchange_.SetStoreAvailable(false);
  exchange_.OnPart(kPeer, { 7, 100, 0, {} });
  ServeParts(7, std::string(100, 'r'));
  ASSERT_EQ(received_.size(), 1u);
  requests_.clear();
  Wait(milliseconds(9000));
  EXPECT_TRUE(requests_.empty());
}

// Guards against more bytes on the link of one process than a few transfers.
TEST_F(DocumentExchangeTest, ServesAFewPeersAtATime)
{
  exchange_.SetDocument(7, std::string(100'000, 's'));
  for (std::uint64_t peer = 10; peer < 20; ++peer) {
    exchange_.OnRequest({ peer, 0 }, { 7, 0 });
  }
  auto served =
    std::count_if(answers_.begin(), answers_.end(), [](const auto& aPart) {
      return !aPart.bytes.empty();
    });
  EXPECT_EQ(served, 2);
  EXPECT_LE(answers_[0].bytes.size(), 8192u);
  // A peer that stops requesting does not hold its place.
  Wait(milliseconds(1100));
  answers_.clear();
  exchange_.OnRequest({ 19, 0 }, { 7, 0 });
  EXPECT_FALSE(answers_.back().bytes.empty());
}

// Guards against requests outside of the document or for another version.
TEST_F(DocumentExchangeTest, OddRequestsAreAnsweredWithTheVersionOnly)
{
  const std::vector<DocumentRequest> odd{ { 7, 0 },
                                          { 9, 3 },
                                          { 9, 4'000'000 } };
  exchange_.OnRequest(kPeer, odd[0]);
  EXPECT_EQ(answers_.back(), DocumentPart{});
  exchange_.SetDocument(9, "{}");
  for (const DocumentRequest& request : odd) {
    exchange_.OnRequest(kPeer, request);
    EXPECT_EQ(answers_.back().version, 9u);
    EXPECT_EQ(answers_.back().totalBytes, 2u);
    EXPECT_TRUE(answers_.back().bytes.empty());
  }
}

// Guards against messages to processes of a version without this exchange,
// which would close the connection.
TEST_F(DocumentExchangeTest, SendsNothingToPeersThatDoNotTakePart)
{
  DocumentExchange exchange(clock_, Hooks());
  exchange.SetSelf(Describe(kSelf, ProcessRole::eEntry));
  exchange.OnPeer(Describe(kPeer, ProcessRole::eEntry));
  exchange.SetDocument(3, "{}");
  for (int i = 0; i < 100; ++i) {
    time_ += milliseconds(25);
    exchange.Tick();
  }
  EXPECT_TRUE(requests_.empty());
  EXPECT_TRUE(answers_.empty());
  exchange.OnPeerVersion(kPeer, 1);
  exchange.Tick();
  EXPECT_EQ(answers_.size(), 1u);
}

// Guards against an entry that starts without a configuration while the store
// is unavailable: the only other entry ended before its next tick, in which it
// would have offered the document to the agent that keeps a copy.
TEST_F(DocumentExchangeTest, OffersTheDocumentToANewAgentAtOnce)
{
  constexpr ProcessId kAgent{ 3, 3 };
  constexpr ProcessId kOtherAgent{ 4, 4 };
  exchange_.SetDocument(7, "seven");
  exchange_.Tick();
  answers_.clear();
  exchange_.OnPeer(Describe(kAgent, ProcessRole::eAgent));
  EXPECT_TRUE(answers_.empty());
  exchange_.OnPeerVersion(kAgent, 1);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].version, 7u);
  // Each data centre has one agent that keeps a copy.
  exchange_.OnPeerVersion(kOtherAgent, 1);
  exchange_.OnPeer(Describe(kOtherAgent, ProcessRole::eAgent));
  exchange_.Tick();
  EXPECT_EQ(answers_.size(), 1u);
}

// Guards against agents of one data centre that all keep a copy, or none.
TEST(DocumentSourcesTest, SomeAgentsOfEachDataCentreKeepACopy)
{
  Processes all;
  for (std::uint64_t i = 0; i < 40; ++i) {
    ProcessInfo info;
    info.id = { i * 7919 % 41, i };
    info.role = i < 4 ? ProcessRole::eEntry : ProcessRole::eAgent;
    info.dataCentre = i % 2 == 0 ? "a" : "b";
    all[info.id] = info;
  }
  std::map<std::string, std::size_t> keepers;
  for (const auto& [id, info] : all) {
    Processes others = all;
    others.erase(id);
    bool isAgent = info.role == ProcessRole::eAgent;
    if (isAgent && KeepsDocument(info, others)) {
      ++keepers[info.dataCentre];
      for (const ProcessId& source : DocumentSources(info, others)) {
        EXPECT_EQ(all[source].role, ProcessRole::eEntry);
      }
    } else if (!isAgent) {
      EXPECT_EQ(DocumentSources(info, others).size(),
                3 + 2 * kKeepersPerDataCentre);
      EXPECT_EQ(
        DocumentContacts(info, others).size(),
        std::min(DocumentSources(info, others).size(), kDocumentContacts));
      EXPECT_EQ(DocumentKeepersNear(info, others).size(),
                kKeepersPerDataCentre);
    }
  }
  EXPECT_EQ(keepers["a"], kKeepersPerDataCentre);
  EXPECT_EQ(keepers["b"], kKeepersPerDataCentre);
}

}
}
