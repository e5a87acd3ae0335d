#include "transport/peer_network.h"

#include <condition_variable>
#include <mutex>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "protocol/peer_codec.h"
#include "support/raw_client.h"
#include "transport/endpoint.h"

namespace greengage::transport {
namespace {

using namespace std::chrono_literals;
using coordination::AgentStatus;
using coordination::Hello;
using coordination::PeerMessage;
using coordination::ProcessInfo;
using testing_support::RawClient;

constexpr auto kTimeout = 10s;

/** A PeerNetwork with its threads; records statuses and lost peers. */
class Node
{
public:
  explicit Node(std::uint64_t aId,
                const std::string& aAddress = "127.0.0.1:0",
                const ConnectionLimits& aLimits = {})
    : traffic(2, aLimits)
  {
    endpoint = *network.Listen(*ParseEndpoint(aAddress));
    self.id = { aId, aId };
    self.peerAddress = ToString(endpoint);
    network.Start(self);
    control.Start();
    traffic.Start();
  }

  ~Node()
  {
    control.Stop();
    traffic.Stop();
  }

  void Run(const std::function<void()>& aFunction) { control.Post(aFunction); }

  bool WaitFor(const std::function<bool()>& aCondition)
  {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, kTimeout, aCondition);
  }

  ProcessInfo self;
  boost::asio::ip::tcp::endpoint endpoint;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::uint32_t> statuses;
  std::size_t documentBytes = 0;
  std::vector<state::ProcessId> lost;
  TrafficPool traffic;
  ControlThread control;
  PeerNetwork network{
    traffic,
    control,
    { [this](const ProcessInfo&, const PeerMessage& aMessage) {
       std::lock_guard lock(mutex);
       if (const auto* hello = std::get_if<Hello>(&aMessage)) {
         network.SetPeer(hello->process);
       } else if (const auto* status = std::get_if<AgentStatus>(&aMessage)) {
         statuses.push_back(status->runningTasks);
       } else if (const auto* part =
                    std::get_if<coordination::DocumentPart>(&aMessage)) {
         documentBytes += part->bytes.size();
       }
       changed.notify_all();
     },
      [this](const state::ProcessId& aPeer, bool) {
        std::lock_guard lock(mutex);
        lost.push_back(aPeer);
        changed.notify_all();
      },
      {},
      {} }
  };
};

// Guards against messages that are lost or reordered while the connection is
// being opened, and against a lost peer that is not reported.
TEST(PeerNetworkTest, DeliversInOrderAndReportsLoss)
{
  Node receiver(1);
  auto sender = std::make_unique<Node>(2);
  sender->Run([&] {
    sender->network.SetPeer(receiver.self);
    for (std::uint32_t i = 0; i < 1000; ++i) {
      sender->network.Send(receiver.self.id, AgentStatus{ sender->self, i });
    }
  });
  ASSERT_TRUE(
    receiver.WaitFor([&] { return receiver.statuses.size() == 1000; }));
  EXPECT_TRUE(
    std::is_sorted(receiver.statuses.begin(), receiver.statuses.end()));
  state::ProcessId senderId = sender->self.id;
  sender.reset();
  ASSERT_TRUE(receiver.WaitFor([&] { return !receiver.lost.empty(); }));
  EXPECT_EQ(receiver.lost.front(), senderId);
}

// Guards against delivering messages for an ended process to another process
// that now uses the same address.
TEST(PeerNetworkTest, SendsNothingToAnotherProcessAtTheAddress)
{
  auto first = std::make_unique<Node>(1);
  ProcessInfo old = first->self;
  first.reset();
  Node second(7, old.peerAddress);
  Node sender(2);
  sender.Run([&] {
    sender.network.SetPeer(old);
    sender.network.Send(old.id, AgentStatus{ sender.self, 1 });
  });
  ASSERT_TRUE(sender.WaitFor([&] { return !sender.lost.empty(); }));
  EXPECT_EQ(sender.lost.front(), old.id);
  EXPECT_TRUE(second.statuses.empty());
}

// Guards against an odd address of a peer, learned from another process, that
// ends this one or is never reported as unreachable.
TEST(PeerNetworkTest, ReportsPeersWithOddAddresses)
{
  const char* addresses[] = { "",
                              "nowhere",
                              "127.0.0.1:0",
                              "127.0.0.1:65536",
                              "127.0.0.1:99999999999",
                              "127.0.0.1:-1",
                              "[::1]:1",
                              "[ff02::1]:1",
                              "255.255.255.255:1",
                              "0.0.0.0:1" };
  Node node(1);
  std::uint64_t number = 10;
  for (const char* address : addresses) {
    ProcessInfo odd = node.self;
    odd.id = { ++number, number };
    odd.peerAddress = address;
    node.Run([&] {
      node.network.SetPeer(odd);
      node.network.Send(odd.id, AgentStatus{ node.self, 1 });
    });
    EXPECT_TRUE(node.WaitFor(
      [&] { return !node.lost.empty() && node.lost.back() == odd.id; }))
      << address;
  }
}

// Guards against a malformed frame that ends the process or leaves the
// connection open.
TEST(PeerNetworkTest, ClosesConnectionsWithMalformedFrames)
{
  Node node(1);
  const std::string frames[] = {
    std::string(4, '\0'),
    "\xff\xff\xff\xff",
    std::string("\x08\0\0\0", 4) + "notcapnp",
    std::string("\x03\0\0\0", 4) + "abc",
  };
  for (const std::string& frame : frames) {
    RawClient client(node.endpoint);
    client.Send(frame);
    client.ReadAll(kTimeout);
    EXPECT_TRUE(client.IsClosed());
  }
  Node sender(2);
  sender.Run([&] {
    sender.network.SetPeer(node.self);
    sender.network.Send(node.self.id, AgentStatus{ sender.self, 5 });
  });
  EXPECT_TRUE(node.WaitFor([&] { return node.statuses.size() == 1; }));
}

// Guards against memory that is reserved because a program other than a peer
// announces a large frame.
TEST(PeerNetworkTest, ClosesConnectionsWithALargeFirstFrame)
{
  Node node(1);
  RawClient client(node.endpoint);
  client.Send(std::string("\0\0\x10\0", 4));
  client.ReadAll(kTimeout);
  EXPECT_TRUE(client.IsClosed());
}

// Guards against connections without a Hello that keep peers out.
TEST(PeerNetworkTest, ReplacesConnectionsWithoutAHelloAtTheLimit)
{
  ConnectionLimits limits;
  limits.peerConnections = 2;
  Node node(1, "127.0.0.1:0", limits);
  RawClient first(node.endpoint);
  RawClient second(node.endpoint);
  Node sender(2);
  sender.Run([&] {
    sender.network.SetPeer(node.self);
    sender.network.Send(node.self.id, AgentStatus{ sender.self, 5 });
  });
  EXPECT_TRUE(node.WaitFor([&] { return node.statuses.size() == 1; }));
  first.ReadAll(kTimeout);
  EXPECT_TRUE(first.IsClosed());
}

// Guards against large frames that are cut or mixed up where the buffer grows.
TEST(PeerNetworkTest, DeliversLargeFrames)
{
  Node node(1);
  Node sender(2);
  constexpr std::size_t kDocumentBytes = 3'000'001;
  sender.Run([&] {
    sender.network.SetPeer(node.self);
    coordination::DocumentPart part;
    part.bytes = std::string(kDocumentBytes, 'x');
    sender.network.Send(node.self.id, part);
    sender.network.Send(node.self.id, AgentStatus{ sender.self, 5 });
  });
  EXPECT_TRUE(node.WaitFor([&] { return node.statuses.size() == 1; }));
  EXPECT_EQ(node.documentBytes, kDocumentBytes);
}

// Guards against messages to a peer that reads nothing, which occupy the memory
// of the host until their number is limited.
TEST(PeerNetworkTest, LimitsTheBytesThatWaitForASlowPeer)
{
  constexpr std::size_t kMegabyte = 1024 * 1024;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          *ParseEndpoint("127.0.0.1:0"));
  ProcessInfo slow;
  slow.id = { 9, 9 };
  slow.peerAddress = ToString(acceptor.local_endpoint());
  Node sender(2);
  sender.Run([&] {
    sender.network.SetPeer(slow);
    sender.network.Connect(slow.id);
  });
  auto socket = acceptor.accept();
  std::string hello =
    protocol::EncodeFrame({ Hello{ slow }, AgentStatus{ slow, 5 } });
  const std::string length = { static_cast<char>(hello.size() & 0xff),
                               static_cast<char>(hello.size() >> 8),
                               0,
                               0 };
  boost::asio::write(socket, boost::asio::buffer(length + hello));
  ASSERT_TRUE(sender.WaitFor([&] { return sender.statuses.size() == 1; }));
  sender.Run([&] {
    for (int i = 0; i < 64; ++i) {
      coordination::DocumentPart part;
      part.bytes = std::string(kMegabyte, 'x');
      sender.network.Send(slow.id, part);
    }
  });
  EXPECT_TRUE(sender.WaitFor([&] { return !sender.lost.empty(); }));
  ByteBudget& budget = sender.traffic.Guard().Bytes();
  std::size_t peak = budget.TakePeak();
  EXPECT_GT(peak, 8 * kMegabyte);
  EXPECT_LT(peak, 18 * kMegabyte);
}

}
}
