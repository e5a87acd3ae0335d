#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "hostile/hostile_connections.h"
#include "hostile/hostile_fleet.h"
#include "protocol/peer_codec.h"

namespace greengage::testing_support {
namespace {

using Listener = HostileFleet::Listener;

// The number of connections and the bounds were fixed on the code without
// limits and are not changed afterwards.

constexpr std::size_t kConnections = 6;
constexpr std::size_t kFloodBytes = 16 * 1024 * 1024;
/**
 * Growth of the resident memory while the limits of the settings are 96 MB for
 * the process and 1 MB for its connections.
 */
constexpr std::size_t kMaxGrowthKb = 24 * 1024;

constexpr std::size_t kBodyConnections = 8;
constexpr std::size_t kBodyBytes = 500'000;
/** Eight bodies would be 4 MB; the limit of all connections is 1 MB. */
constexpr std::size_t kMaxBodyGrowthKb = 3 * 1024;

/** More than the 32 descriptors that the settings leave for connections. */
constexpr std::size_t kManyConnections = 64;
constexpr std::size_t kMaxDescriptorGrowth = 32;

const char*
NameOf(Listener aListener)
{
  switch (aListener) {
    case Listener::eCallers:
      return "Callers";
    case Listener::eReadiness:
      return "Readiness";
    case Listener::eEntryMetrics:
      return "EntryMetrics";
    case Listener::eEntryPeers:
      return "EntryPeers";
    case Listener::eAgentControl:
      return "AgentControl";
    case Listener::eAgentMetrics:
      return "AgentMetrics";
    case Listener::eAgentPeers:
      break;
  }
  return "AgentPeers";
}

/** Bytes that each connection of a client sends. */
struct Flood
{
  const char* name;
  std::string prefix;
  std::string filler;
  std::size_t maxBytes = kFloodBytes;
};

constexpr const char* kChunked = "POST /p/00000000000000f1 HTTP/1.1\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

/** Returns aText again and again; short writes would limit the speed. */
std::string
Repeated(const std::string& aText)
{
  std::string text;
  while (text.size() < 4096) {
    text += aText;
  }
  return text;
}

std::vector<Flood>
HttpFloods()
{
  const std::string letters = Repeated("a");
  const std::string requests = Repeated("GET /metrics HTTP/1.1\r\n\r\n");
  return {
    { "Trailers",
      std::string(kChunked) + "1\r\nx\r\n0\r\n",
      Repeated("a: b\r\n") },
    { "OneTrailer", std::string(kChunked) + "1\r\nx\r\n0\r\na: ", letters },
    { "ChunkExtension", std::string(kChunked) + "1;a=", letters },
    { "HeaderLines", "GET / HTTP/1.1\r\n", Repeated("a: b\r\n") },
    { "OneHeaderLine", "GET / HTTP/1.1\r\na: ", letters },
    { "ChunksOfOneByte", kChunked, Repeated("1\r\nx\r\n") },
    // The client reads no answer.
    { "PipelinedRequests", "", requests },
    { "PipelinedAfterAJob",
      "POST /p/00000000000000f2 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
      requests },
  };
}

std::string
Hello()
{
  coordination::ProcessInfo process;
  process.id = *state::ProcessId::Parse("00000000000000000000000000000001");
  process.peerAddress = "127.0.0.1:1";
  return protocol::EncodeFrame({ coordination::Hello{ process } });
}

std::string
LengthField(std::size_t aLength)
{
  std::string bytes;
  for (int shift = 0; shift < 32; shift += 8) {
    bytes.push_back(static_cast<char>((aLength >> shift) & 0xff));
  }
  return bytes;
}

std::vector<Flood>
FrameFloods()
{
  const std::string zeros(4096, '\0');
  const std::string announced = LengthField(protocol::kMaxFrameBytes);
  return {
    { "AnnouncedFrames", announced, zeros, 1024 },
    { "IncompleteFrames", announced, zeros, protocol::kMaxFrameBytes / 2 },
    { "IncompleteFramesOfAPeer",
      LengthField(Hello().size()) + Hello() + announced,
      zeros,
      protocol::kMaxFrameBytes / 2 },
  };
}

struct FloodCase
{
  Listener listener;
  Flood flood;
};

/** Without it, GoogleTest prints the bytes of the value. */
void
PrintTo(const FloodCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.flood.name;
}

std::vector<FloodCase>
FloodCases()
{
  std::vector<FloodCase> cases;
  for (Listener listener : { Listener::eCallers,
                             Listener::eReadiness,
                             Listener::eEntryMetrics,
                             Listener::eAgentControl,
                             Listener::eAgentMetrics }) {
    for (const Flood& flood : HttpFloods()) {
      cases.push_back({ listener, flood });
    }
  }
  for (Listener listener : { Listener::eEntryPeers, Listener::eAgentPeers }) {
    for (const Flood& flood : FrameFloods()) {
      cases.push_back({ listener, flood });
    }
  }
  return cases;
}

class HostileClientTest : public ::testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(fleet_.Start()) << fleet_.Output(); }

  void ExpectServing(Listener aListener)
  {
    EXPECT_FALSE(fleet_.Process(aListener).HasEnded()) << fleet_.Output();
    EXPECT_TRUE(fleet_.AnswersAt(aListener)) << fleet_.Output();
    EXPECT_TRUE(fleet_.CompletesAJob()) << fleet_.Output();
  }

  /** Prints the figure, so that it can be compared with the bound. */
  std::size_t PeakGrowthKb(Listener aListener, const ProcessUse& aBefore)
  {
    ProcessUse use = MeasureProcess(fleet_.Process(aListener));
    std::size_t growth =
      use.peakKb > aBefore.residentKb ? use.peakKb - aBefore.residentKb : 0;
    fmt::print("memory: {} kB before, peak {} kB above it, descriptors: {} "
               "before, {} now\n",
               aBefore.residentKb,
               growth,
               aBefore.descriptors,
               use.descriptors);
    return growth;
  }

  HostileFleet fleet_;
};

class HostileFloodTest
  : public HostileClientTest
  , public ::testing::WithParamInterface<FloodCase>
{};

// Guards against input without end whose buffer grows until the host has no
// memory left.
TEST_P(HostileFloodTest, MemoryStaysBounded)
{
  const FloodCase& param = GetParam();
  ProcessUse before = MeasureProcess(fleet_.Process(param.listener));
  HostileConnections client(fleet_.Port(param.listener), kConnections);
  client.Send(param.flood.prefix, param.flood.filler, param.flood.maxBytes);
  // The process may still be reading what was sent last.
  ExpectServing(param.listener);
  EXPECT_LT(PeakGrowthKb(param.listener, before), kMaxGrowthKb);
}

INSTANTIATE_TEST_SUITE_P(All,
                         HostileFloodTest,
                         ::testing::ValuesIn(FloodCases()),
                         [](const auto& aInfo) {
                           return fmt::format("{}{}",
                                              NameOf(aInfo.param.listener),
                                              aInfo.param.flood.name);
                         });

class HostileBodyTest
  : public HostileClientTest
  , public ::testing::WithParamInterface<Listener>
{};

// Guards against connections that each withhold the last byte of a body and
// together hold the memory of the host.
TEST_P(HostileBodyTest, WithheldBodiesStayBounded)
{
  ProcessUse before = MeasureProcess(fleet_.Process(GetParam()));
  HostileConnections client(fleet_.Port(GetParam()), kBodyConnections);
  // The agent's control address accepts bodies of up to 256 KB.
  std::size_t bytes =
    GetParam() == Listener::eAgentControl ? kBodyBytes / 2 : kBodyBytes;
  std::string header =
    fmt::format("POST /p/00000000000000f3 HTTP/1.1\r\nContent-Length: {}\r\n"
                "\r\n",
                bytes);
  client.Send(header, std::string(4096, 'a'), header.size() + bytes - 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_LT(PeakGrowthKb(GetParam(), before), kMaxBodyGrowthKb);
  ExpectServing(GetParam());
}

INSTANTIATE_TEST_SUITE_P(All,
                         HostileBodyTest,
                         ::testing::Values(Listener::eCallers,
                                           Listener::eReadiness,
                                           Listener::eEntryMetrics,
                                           Listener::eAgentControl,
                                           Listener::eAgentMetrics),
                         [](const auto& aInfo) { return NameOf(aInfo.param); });

class HostileDescriptorTest
  : public HostileClientTest
  , public ::testing::WithParamInterface<Listener>
{};

// Guards against connections that take all descriptors of the process, so that
// it accepts no caller, reads no file and reaches no other process.
TEST_P(HostileDescriptorTest, ConnectionsStayBounded)
{
  ProcessUse before = MeasureProcess(fleet_.Process(GetParam()));
  HostileConnections client(fleet_.Port(GetParam()), kManyConnections);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  ProcessUse use = MeasureProcess(fleet_.Process(GetParam()));
  PeakGrowthKb(GetParam(), before);
  EXPECT_LE(use.descriptors, before.descriptors + kMaxDescriptorGrowth);
  ExpectServing(GetParam());
}

INSTANTIATE_TEST_SUITE_P(All,
                         HostileDescriptorTest,
                         ::testing::Values(Listener::eCallers,
                                           Listener::eReadiness,
                                           Listener::eEntryMetrics,
                                           Listener::eEntryPeers,
                                           Listener::eAgentControl,
                                           Listener::eAgentMetrics,
                                           Listener::eAgentPeers),
                         [](const auto& aInfo) { return NameOf(aInfo.param); });

}
}
