#include "protocol/json_reader.h"

#include <gtest/gtest.h>

namespace greengage::protocol {
namespace {

// Guards against changing the value of a number: 1e360 was read as infinity and
// written as 1e99999 into the caller's answer (found by fuzzing).
TEST(JsonReaderTest, RefusesNumbersOutOfRange)
{
  EXPECT_TRUE(ParseJson("[1e300]"));
  auto parsed = ParseJson("{\"result\":[1,-1e360]}");
  ASSERT_FALSE(parsed);
  EXPECT_NE(parsed.error().message.find("out of range"), std::string::npos);
}

// Guards against input that exhausts the stack, is not UTF-8, or has two values
// for one field.
TEST(JsonReaderTest, RefusesOddTexts)
{
  for (const std::string& odd :
       { std::string(100'000, '['),
         std::string(100'000, '[') + std::string(100'000, ']'),
         std::string(17, '[') + std::string(17, ']'),
         std::string("[\"\xff\"]"),
         std::string("[\"\xc3\"]"),
         std::string("[\"\\ud800\"]"),
         std::string("{\"a\":1,\"a\":2}"),
         std::string("{\"a\":1,\"\\u0061\":2}"),
         std::string("[1]\0", 4),
         std::string("[NaN]"),
         std::string("[-]"),
         std::string(1, '\0') }) {
    EXPECT_FALSE(ParseJson(odd)) << odd.substr(0, 40);
  }
  EXPECT_TRUE(ParseJson(std::string(16, '[') + std::string(16, ']')));
  std::string huge = "[0";
  for (int i = 0; i < 100'000; ++i) {
    huge += ",0";
  }
  EXPECT_TRUE(ParseJson(huge + "]"));
}

// Guards against integers that are read as another value because the type
// cannot hold them.
TEST(JsonReaderTest, RefusesIntegersOutOfRange)
{
  for (const char* odd : { "18446744073709551616",
                           "9223372036854775808",
                           "1e19",
                           "-1",
                           "0.5",
                           "1e3",
                           "\"1\"",
                           "null",
                           "[]" }) {
    auto parsed = ParseJson(std::string("{\"n\":") + odd + "}");
    ASSERT_TRUE(parsed) << odd;
    JsonReader reader(*parsed, "");
    EXPECT_EQ(reader.ReadUnsigned("n", 3, 1'000'000), 3u) << odd;
    EXPECT_FALSE(reader.Ok()) << odd;
  }
}

}
}
