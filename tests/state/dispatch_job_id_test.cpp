#include "state/dispatch/dispatch_job_id.h"

#include <random>
#include <set>

#include <gtest/gtest.h>

namespace greengage::state {
namespace {

// Guards against IDs that reach a backend server in another form than the
// caller sent, and against different IDs that count as one job.
TEST(DispatchJobIdTest, KeepsDigitsAndCase)
{
  std::mt19937 random(7);
  constexpr std::string_view kCharacters = "0123456789abcdefABCDEF";
  std::set<std::string> texts{ "0000000000000000", "ffffffffffffffff",
                               "FFFFFFFFFFFFFFFF", "a000000000000000",
                               "A000000000000000", "000000000000000A" };
  for (int i = 0; i < 5000; ++i) {
    std::string text;
    while (text.size() < 16) {
      text += kCharacters[random() % kCharacters.size()];
    }
    texts.insert(text);
  }
  std::set<DispatchJobId> ids;
  for (const std::string& text : texts) {
    auto id = DispatchJobId::Parse(text);
    ASSERT_TRUE(id) << text;
    EXPECT_EQ(id->ToString(), text);
    EXPECT_EQ(DispatchJobId(id->Number(), id->UpperCase()), *id) << text;
    ids.insert(*id);
  }
  EXPECT_EQ(ids.size(), texts.size());
}

// Guards against two values for one ID: a peer may set the bit of a digit that
// has no case.
TEST(DispatchJobIdTest, IgnoresTheCaseOfDecimalDigits)
{
  EXPECT_EQ(DispatchJobId(0x10, 0xffff), DispatchJobId(0x10));
  EXPECT_EQ(DispatchJobId(0x1a, 0xffff), DispatchJobId(0x1a, 1));
  EXPECT_EQ(DispatchJobId(0x1a, 0xffff).ToString(), "000000000000001A");
}

// Guards against accepting what is not an ID of 16 digits.
TEST(DispatchJobIdTest, RefusesOtherTexts)
{
  for (std::string_view text : { "",
                                 "000000000000000",
                                 "00000000000000000",
                                 "000000000000000g",
                                 "-000000000000001",
                                 "+000000000000001",
                                 " 000000000000001",
                                 "0x00000000000001",
                                 "000000000000001 " }) {
    EXPECT_FALSE(DispatchJobId::Parse(text)) << text;
  }
}

}
}
