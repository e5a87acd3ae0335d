#include "daemon/membership_service.h"

#include <future>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "protocol/membership_codec.h"
#include "support/process_fleet.h"
#include "support/reserved_port.h"
#include "transport/endpoint.h"
#include "transport/system_clock.h"

namespace greengage::daemon {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kDatagrams = 4000;
constexpr unsigned kMaxHandled = 1100;

// Guards against datagrams without end that wait for a control thread that is
// busy or behind, and occupy the memory of the host.
TEST(MembershipServiceTest, LimitsTheDatagramsThatWait)
{
  transport::TrafficPool traffic(1);
  transport::ControlThread control;
  transport::SystemClock clock;
  std::atomic<unsigned> handled = 0;
  MembershipServiceHooks hooks;
  hooks.alive = [](const coordination::ProcessInfo&) {};
  hooks.lost = [](const state::ProcessId&) {};
  hooks.replaced = [](const state::ProcessId&) {};
  hooks.versionReceived = [](const state::ProcessId&, std::uint64_t) {};
  hooks.heard = [&] { ++handled; };
  MembershipService service(traffic, control, clock, hooks);
  coordination::ProcessInfo self;
  self.id = { 1, 1 };
  testing_support::ReservedPort port;
  self.peerAddress = fmt::format("127.0.0.1:{}", port.Number());
  ASSERT_TRUE(service.Start(self, {}));
  std::promise<void> released;
  control.Post([&] { released.get_future().wait(); });
  control.Start();
  traffic.Start();
  boost::asio::io_context context;
  boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
  coordination::MembershipPacket packet;
  packet.sender.process.id = { 2, 2 };
  packet.sender.process.peerAddress = "127.0.0.1:1";
  const std::string bytes = protocol::EncodeMembershipPacket(packet);
  boost::asio::ip::udp::endpoint target(
    boost::asio::ip::make_address("127.0.0.1"),
    static_cast<unsigned short>(port.Number()));
  for (unsigned i = 0; i < kDatagrams; ++i) {
    socket.send_to(boost::asio::buffer(bytes), target);
    if (i % 50 == 0) {
      // The buffer of the receiving socket is not the limit.
      std::this_thread::sleep_for(2ms);
    }
  }
  std::this_thread::sleep_for(200ms);
  released.set_value();
  EXPECT_TRUE(testing_support::WaitUntil([&] { return handled >= 1000; }, 10s));
  std::this_thread::sleep_for(200ms);
  EXPECT_LE(handled, kMaxHandled);
  control.Stop();
  traffic.Stop();
}

}
}
