#include "protocol/log_json.h"

#include <gtest/gtest.h>

namespace greengage::protocol {
namespace {

// Guards against a time of the log that overflows when it is converted to
// nanoseconds.
TEST(LogJsonTest, LimitsTimes)
{
  auto page = DecodeLogPage(
    R"({"first_offset":0,"next_offset":2,"records":[
        {"offset":0,"time_ms":9223372036854775807,"data":""},
        {"offset":1,"time_ms":1777507529535,"data":""}]})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->records.size(), 2u);
  EXPECT_GT(page->records[0].position.time, page->records[1].position.time);
}

}
}
