#include "transport/http_input.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace greengage::transport {
namespace {

using Progress = HttpInput::Progress;

constexpr std::size_t kMaxHeaderBytes = 1024;
constexpr std::size_t kMaxBodyBytes = 4096;

/** Receives a text in parts and parses after each, until more is needed. */
class HttpInputTest : public testing::Test
{
protected:
  Progress Receive(const std::string& aText, std::size_t aPartBytes)
  {
    Progress progress = Progress::eNeedsMore;
    for (std::size_t at = 0; at < aText.size(); at += aPartBytes) {
      std::string part = aText.substr(at, aPartBytes);
      auto space = input_.Prepare(part.size());
      std::copy(part.begin(), part.end(), static_cast<char*>(space.data()));
      input_.Commit(part.size());
      do {
        progress = input_.Parse();
      } while (progress == Progress::eHeader);
      highestBytes_ = std::max(highestBytes_, input_.HeldBytes());
      if (progress != Progress::eNeedsMore) {
        break;
      }
    }
    return progress;
  }

  HttpInput input_{ kMaxHeaderBytes, kMaxBodyBytes };
  std::size_t highestBytes_ = 0;
};

// Guards against ordinary requests that are refused because their bytes arrive
// in other parts than expected.
TEST_F(HttpInputTest, ParsesRequestsInPartsOfAnySize)
{
  const std::string chunked =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;name=value\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: value\r\n\r\n";
  const std::string plain = "POST /b HTTP/1.1\r\nContent-Length: 4096\r\n\r\n" +
                            std::string(kMaxBodyBytes, 'x');
  const std::string brief = "GET /c HTTP/1.1\r\n\r\n";
  for (std::size_t bytes : { 1u, 2u, 7u, 64u, 100'000u }) {
    ASSERT_EQ(Receive(chunked, bytes), Progress::eRequest) << bytes;
    EXPECT_EQ(input_.Release().body(), "abcde");
    ASSERT_EQ(Receive(plain, bytes), Progress::eRequest) << bytes;
    EXPECT_EQ(input_.Release().body().size(), kMaxBodyBytes);
    ASSERT_EQ(Receive(brief, bytes), Progress::eRequest) << bytes;
    EXPECT_EQ(input_.Release().target(), "/c");
    EXPECT_TRUE(input_.IsEmpty());
  }
}

// Guards against lost or mixed up requests that arrive together.
TEST_F(HttpInputTest, KeepsTheBytesOfLaterRequests)
{
  const std::string requests =
    "GET /a HTTP/1.1\r\n\r\n"
    "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz"
    "GET /c HTTP/1.1\r\n\r\n";
  ASSERT_EQ(Receive(requests, requests.size()), Progress::eRequest);
  EXPECT_EQ(input_.Release().target(), "/a");
  EXPECT_EQ(input_.Parse(), Progress::eHeader);
  ASSERT_EQ(input_.Parse(), Progress::eRequest);
  EXPECT_EQ(input_.Release().body(), "xyz");
  EXPECT_EQ(input_.Parse(), Progress::eHeader);
  ASSERT_EQ(input_.Parse(), Progress::eRequest);
  EXPECT_EQ(input_.Release().target(), "/c");
  EXPECT_TRUE(input_.IsEmpty());
}

// Guards against a buffer that grows without bound while the parser waits for
// the end of a line or of the trailers.
TEST_F(HttpInputTest, FailsOnPartsWithoutEnd)
{
  const std::string header =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string trailers;
  while (trailers.size() < 100'000) {
    trailers += "a: b\r\n";
  }
  const std::string letters(100'000, 'a');
  for (const std::string& text : { header + "1\r\nx\r\n0\r\n" + trailers,
                                   header + "1\r\nx\r\n0\r\na: " + letters,
                                   header + "1;a=" + letters,
                                   "GET / HTTP/1.1\r\n" + trailers,
                                   "GET / HTTP/1.1\r\na: " + letters }) {
    EXPECT_EQ(Receive(text, 100), Progress::eFailed) << text.substr(0, 80);
    EXPECT_LT(highestBytes_, 16 * kMaxHeaderBytes);
    input_.Clear();
    EXPECT_EQ(input_.HeldBytes(), 0u);
  }
}

// Guards against the end of a connection on which no byte of a request has
// arrived, which ended the process or was handled as an empty request.
TEST_F(HttpInputTest, EndWithoutARequestIsNoRequest)
{
  EXPECT_EQ(input_.Parse(), Progress::eNeedsMore);
  EXPECT_EQ(input_.ParseEnd(), Progress::eNeedsMore);
  const std::string request = "GET /a HTTP/1.1\r\n\r\n";
  ASSERT_EQ(Receive(request, request.size()), Progress::eRequest);
  input_.Release();
  EXPECT_EQ(input_.Parse(), Progress::eNeedsMore);
  EXPECT_EQ(input_.ParseEnd(), Progress::eNeedsMore);
}

}
}
