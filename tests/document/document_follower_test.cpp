#include <gtest/gtest.h>

#include "coordination/document/document_follower.h"
#include "coordination/simulation/virtual_clock.h"

namespace greengage::coordination {
namespace {

using Newest = DocumentFollowerHooks::Newest;
using Page = DocumentFollowerHooks::Page;
using std::chrono::milliseconds;

class DocumentFollowerTest : public ::testing::Test
{
protected:
  DocumentFollowerHooks Hooks()
  {
    DocumentFollowerHooks hooks;
    hooks.readNewest = [this](milliseconds, std::function<void(Newest)> aDone) {
      ++newestReads_;
      newestDone_ = std::move(aDone);
    };
    hooks.readSince = [this](std::uint64_t aFrom,
                             const DocumentReadLimits&,
                             std::function<void(Page)> aDone) {
      from_ = aFrom;
      pageDone_ = std::move(aDone);
    };
    hooks.document = [this](const std::string& aDocument) {
      documents_.push_back(aDocument);
    };
    hooks.evacuation = [this](const state::EvacuationState& aState) {
      evacuation_ = aState;
    };
    hooks.availability = [this](bool aAvailable) {
      availability_.push_back(aAvailable);
    };
    return hooks;
  }

  void Wait(milliseconds aTime)
  {
    time_ += aTime;
    follower_.Tick();
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::function<void(Newest)> newestDone_;
  std::function<void(Page)> pageDone_;
  unsigned newestReads_ = 0;
  std::uint64_t from_ = 0;
  std::vector<std::string> documents_;
  std::vector<bool> availability_;
  state::EvacuationState evacuation_;
  DocumentFollower follower_{ clock_, Hooks() };
};

// Guards against a process that starts with a stale document or misses a
// change.
TEST_F(DocumentFollowerTest, StartsWithTheNewestDocumentAndFollowsChanges)
{
  follower_.Tick();
  newestDone_(NewestDocument{ "a", 7 });
  EXPECT_EQ(from_, 7u);
  pageDone_(DocumentPage{ { "b", "c" }, 9 });
  EXPECT_EQ(from_, 9u);
  EXPECT_EQ(documents_, (std::vector<std::string>{ "a", "b", "c" }));
}

// Guards against an entry on a slow link that reads every document of a series,
// which takes longer than the series and leaves it ever further behind.
TEST_F(DocumentFollowerTest, SkipsToTheNewestOfSeveralDocuments)
{
  follower_.Tick();
  newestDone_(NewestDocument{ "a", 7 });
  pageDone_(DocumentPage{ { "b" }, 8, true });
  EXPECT_EQ(newestReads_, 2u);
  newestDone_(NewestDocument{ "f", 12 });
  EXPECT_EQ(from_, 12u);
  EXPECT_EQ(documents_, (std::vector<std::string>{ "a", "b", "f" }));
}

// Guards against an evacuation that is missed because it is on a later page
// than the document, and against a document that waits for the later pages.
TEST_F(DocumentFollowerTest, ReadsEvacuationsOfAllPages)
{
  follower_.Tick();
  auto done = newestDone_;
  done(NewestDocument{ "a", 7, { { "bole", true } }, true });
  EXPECT_EQ(documents_, (std::vector<std::string>{ "a" }));
  EXPECT_FALSE(evacuation_.IsKnown());
  EXPECT_FALSE(pageDone_);
  Wait(milliseconds(100));
  EXPECT_EQ(newestReads_, 1u);
  done(NewestDocument{ std::nullopt, 7, { { "mulu", true } } });
  EXPECT_EQ(evacuation_, (state::EvacuationState{ 7, { "bole", "mulu" } }));
  EXPECT_EQ(from_, 7u);
  pageDone_(DocumentPage{ {}, 8, false, { { "bole", false } } });
  EXPECT_EQ(evacuation_, (state::EvacuationState{ 8, { "mulu" } }));
}

// Guards against an evacuation that is lost between two records that were
// appended together, or because a listing fails after its first page.
TEST_F(DocumentFollowerTest, KeepsEvacuationsIfAListingFails)
{
  follower_.Tick();
  newestDone_(NewestDocument{ "a", 7 });
  pageDone_(DocumentPage{ {}, 8, true, { { "bole", true } } });
  EXPECT_EQ(evacuation_, (state::EvacuationState{ 8, { "bole" } }));
  auto done = newestDone_;
  done(NewestDocument{ "b", 10, {}, true });
  done(tl::unexpected(DocumentReadError::eUnavailable));
  EXPECT_EQ(evacuation_, (state::EvacuationState{ 8, { "bole" } }));
  Wait(milliseconds(700));
  EXPECT_EQ(from_, 8u);
  pageDone_(DocumentPage{ {}, 9, true });
  newestDone_(NewestDocument{ "b", 10 });
  EXPECT_EQ(evacuation_, (state::EvacuationState{ 10, {} }));
}

// Guards against a follower that waits indefinitely for deleted records.
TEST_F(DocumentFollowerTest, ReadsTheNewestDocumentAgainAfterAGap)
{
  follower_.Tick();
  newestDone_(NewestDocument{ "a", 7 });
  pageDone_(tl::unexpected(DocumentReadError::eExpired));
  EXPECT_EQ(newestReads_, 2u);
  newestDone_(NewestDocument{ "d", 30 });
  EXPECT_EQ(from_, 30u);
  EXPECT_EQ(documents_.back(), "d");
}

// Guards against calls in a tight loop while the log is unavailable, each of
// which is billed, and against an outage that is not reported.
TEST_F(DocumentFollowerTest, BacksOffDuringAnOutage)
{
  follower_.Tick();
  newestDone_(NewestDocument{ "first", 7 });
  // After 20 failures the backoff has reached its maximum.
  for (unsigned i = 0; i < 20; ++i) {
    pageDone_(tl::unexpected(DocumentReadError::eUnavailable));
    pageDone_ = nullptr;
    Wait(milliseconds(700));
    ASSERT_TRUE(pageDone_);
  }
  pageDone_(tl::unexpected(DocumentReadError::eUnavailable));
  pageDone_ = nullptr;
  Wait(milliseconds(500));
  EXPECT_FALSE(pageDone_);
  Wait(milliseconds(200));
  ASSERT_TRUE(pageDone_);
  pageDone_(DocumentPage{ {}, 7 });
  EXPECT_EQ(availability_, (std::vector<bool>{ false, true }));
}

// Guards against entries that still refuse all jobs after an outage of the
// store has ended, if all processes were restarted during the outage.
TEST_F(DocumentFollowerTest, RetriesOftenUntilThereIsADocument)
{
  follower_.Tick();
  newestDone_(tl::unexpected(DocumentReadError::eUnavailable));
  Wait(milliseconds(10));
  EXPECT_EQ(newestReads_, 1u);
  Wait(milliseconds(200));
  EXPECT_EQ(newestReads_, 2u);
  for (unsigned i = 0; i < 20; ++i) {
    newestDone_(tl::unexpected(DocumentReadError::eUnavailable));
    Wait(milliseconds(200));
  }
  EXPECT_EQ(newestReads_, 22u);
  newestDone_(NewestDocument{ std::nullopt, 0 });
  EXPECT_EQ(availability_, (std::vector<bool>{ false, true }));
}

}
}
