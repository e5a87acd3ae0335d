#include "transport/endpoint.h"

#include <string>

#include <gtest/gtest.h>

namespace greengage::transport {
namespace {

// Guards against an address of another process that ends this one or is read as
// another port.
TEST(EndpointTest, RefusesOddAddresses)
{
  for (const std::string& odd : { std::string(),
                                  std::string(":"),
                                  std::string("127.0.0.1"),
                                  std::string("127.0.0.1:"),
                                  std::string("127.0.0.1:65536"),
                                  std::string("127.0.0.1:99999999999"),
                                  std::string("127.0.0.1:-1"),
                                  std::string("127.0.0.1:+1"),
                                  std::string("127.0.0.1: 1"),
                                  std::string("127.0.0.1:1 "),
                                  std::string("127.0.0.1:0x1"),
                                  std::string("127.0.0.1:1.5"),
                                  std::string("127.0.0.256:1"),
                                  std::string("127.0.0.1\0:1", 12),
                                  std::string("host:1"),
                                  std::string(":1"),
                                  std::string("[]:1"),
                                  std::string("[::1]"),
                                  std::string("[::1:1"),
                                  std::string("[[::1]]:1"),
                                  std::string("\xff\xfe:1"),
                                  std::string(100'000, '[') + ":1",
                                  std::string(100'000, '9') }) {
    auto endpoint = ParseEndpoint(odd);
    ASSERT_FALSE(endpoint) << odd;
    EXPECT_EQ(endpoint.error().kind, TransportErrorKind::eInvalidArgument);
  }
}

// Guards against valid addresses that are refused or changed.
TEST(EndpointTest, KeepsAddresses)
{
  for (const char* address :
       { "127.0.0.1:0", "127.0.0.1:65535", "[::1]:1", "[fe80::1]:7720" }) {
    auto endpoint = ParseEndpoint(address);
    ASSERT_TRUE(endpoint) << address;
    EXPECT_EQ(ToString(*endpoint), address);
  }
}

}
}
