#include "coordination/subset/news_list.h"

#include <string>

#include <gtest/gtest.h>

namespace greengage::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetention{ 1000 };

class NewsListTest : public ::testing::Test
{
protected:
  bool Add(int aKey, milliseconds aAge = milliseconds(0))
  {
    return news_.Add(aKey, std::to_string(aKey), aAge, now_);
  }

  /** Returns the next contents, separated by spaces. */
  std::string Next()
  {
    std::string contents;
    for (const auto& [content, age] : news_.After(sequence_, now_)) {
      contents += content + " ";
    }
    return contents;
  }

  state::MonotonicTime now_{ std::chrono::hours(1) };
  coordination::NewsList<int, std::string> news_{ { kRetention, 4, 2 } };
  std::uint64_t sequence_ = 0;
};

// Guards against news that are left out, or sent twice, where a message ends.
TEST_F(NewsListTest, MessagesContinueWhereTheLastOneEnded)
{
  EXPECT_EQ(Next(), "");
  for (int key = 1; key <= 3; ++key) {
    EXPECT_TRUE(Add(key));
    EXPECT_FALSE(Add(key));
  }
  EXPECT_EQ(Next(), "1 2 ");
  EXPECT_EQ(Next(), "3 ");
  EXPECT_EQ(Next(), "");
  Add(4);
  EXPECT_EQ(Next(), "4 ");
}

// Guards against a position that is wrong once the oldest items were removed,
// because there were too many or because they expired.
TEST_F(NewsListTest, RemovedItemsDoNotMoveThePosition)
{
  for (int key = 1; key <= 7; ++key) {
    Add(key);
  }
  EXPECT_EQ(Next(), "4 5 ");
  Add(8);
  Add(9);
  EXPECT_EQ(Next(), "6 7 ");
  EXPECT_EQ(Next(), "8 9 ");
  now_ += 3 * kRetention;
  news_.Expire(now_);
  EXPECT_EQ(Next(), "");
  Add(10);
  EXPECT_EQ(Next(), "10 ");
}

// Guards against old news that are passed on as if they were new.
TEST_F(NewsListTest, OldItemsAreNotPassedOn)
{
  EXPECT_FALSE(Add(1, 2 * kRetention));
  EXPECT_TRUE(Add(2, kRetention));
  EXPECT_TRUE(Add(3));
  now_ += milliseconds(1);
  EXPECT_EQ(Next(), "3 ");
  EXPECT_EQ(sequence_, 2u);
}

}
}
