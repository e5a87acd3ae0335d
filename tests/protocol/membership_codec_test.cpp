#include "protocol/membership_codec.h"

#include <random>

#include <gtest/gtest.h>

namespace greengage::protocol {
namespace {

using namespace coordination;

/** Highest incarnation that a packet may contain. */
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{ 1 } << 43;

std::span<const std::byte>
ToBytes(const std::string& aText)
{
  return std::as_bytes(std::span(aText));
}

MemberUpdate
MakeUpdate(std::size_t aNameBytes)
{
  std::string address(aNameBytes, '1');
  address.resize(std::min<std::size_t>(aNameBytes, 53));
  std::string place(std::min(aNameBytes, kMaxPlaceNameBytes), 'p');
  return {
    { { 1, 2 }, ProcessRole::eAgent, address, place, place, 8, 32768, 1, true },
    77,
    kMaxIncarnation,
    MemberState::eSuspect,
    std::chrono::milliseconds(1500)
  };
}

std::vector<MembershipBody>
AllBodies()
{
  return { Ping{ 5, true },
           Ack{ 5, { 3, 4 } },
           PingRequest{ 5, { 3, 4 }, std::string(53, '9') },
           Gossip{},
           MemberList{} };
}

// Guards against fields that are lost or swapped when a packet is encoded and
// decoded again.
TEST(MembershipCodecTest, KeepsPacketsThroughEncoding)
{
  for (const MembershipBody& body : AllBodies()) {
    MembershipPacket packet{ MakeUpdate(9),
                             body,
                             { MakeUpdate(1), MakeUpdate(30) },
                             state::WallTime(std::chrono::milliseconds(123)) };
    auto decoded =
      DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet)));
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(*decoded, packet);
  }
}

// Guards against packets that are longer than the sender computed: the receiver
// drops packets above the maximum size.
TEST(MembershipCodecTest, PacketsHaveTheComputedSize)
{
  for (std::size_t nameBytes = 1; nameBytes <= 64; ++nameBytes) {
    MemberUpdate update = MakeUpdate(nameBytes);
    for (const MembershipBody& body : AllBodies()) {
      MembershipPacket packet{ update, body, {}, {} };
      std::size_t empty = EncodeMembershipPacket(packet).size();
      std::size_t freeCapacity = PacketFreeCapacity(packet);
      while (freeCapacity >= EncodedBytes(update)) {
        freeCapacity -= EncodedBytes(update);
        packet.updates.push_back(update);
      }
      std::size_t full = EncodeMembershipPacket(packet).size();
      EXPECT_EQ(full - empty, packet.updates.size() * EncodedBytes(update));
      EXPECT_LE(full, kMaxPacketBytes);
      EXPECT_GE(packet.updates.size(), 2u);
    }
  }
}

// Guards against a crash on damaged packets, and against decoding them in part.
TEST(MembershipCodecTest, HandlesDamagedPackets)
{
  MembershipPacket packet{
    MakeUpdate(9), Ping{ 5, true }, { MakeUpdate(1), MakeUpdate(30) }, {}
  };
  std::string good = EncodeMembershipPacket(packet);
  EXPECT_FALSE(DecodeMembershipPacket({}));
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(good.substr(1))));
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(std::string(1208, 'x'))));
  std::mt19937 random(1);
  unsigned refused = 0;
  for (int i = 0; i < 100'000; ++i) {
    std::string bad = good;
    for (unsigned j = random() % 4 + 1; j > 0; --j) {
      bad[random() % bad.size()] = static_cast<char>(random());
    }
    bad.resize(bad.size() - random() % 3 * 8);
    refused += !DecodeMembershipPacket(ToBytes(bad));
  }
  EXPECT_GT(refused, 0u);
}

// Guards against a suspicion that its subject cannot refute: the refutation has
// a higher incarnation, which other members must accept too.
TEST(MembershipCodecTest, AcceptedSuspicionsCanBeRefuted)
{
  for (std::uint64_t incarnation : { std::uint64_t{ UINT64_MAX },
                                     std::uint64_t{ UINT64_MAX / 2 + 1 },
                                     std::uint64_t{ UINT64_MAX / 2 },
                                     std::uint64_t{ 1 } << 53,
                                     std::uint64_t{ 1'777'507'529'535 } }) {
    MembershipPacket packet{ MakeUpdate(9), Gossip{}, {}, {} };
    packet.sender.incarnation = incarnation;
    bool accepted =
      DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet)))
        .has_value();
    packet.sender.incarnation = incarnation + 1;
    bool canBeRefuted =
      DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet)))
        .has_value();
    EXPECT_TRUE(canBeRefuted || !accepted) << incarnation;
  }
}

// Guards against names that are too long for later packets, and against other
// values out of range.
TEST(MembershipCodecTest, RefusesValuesOutOfRange)
{
  MembershipPacket packet{ MakeUpdate(9), Gossip{}, {}, {} };
  packet.sender.process.rack = std::string(kMaxPlaceNameBytes + 1, 'r');
  auto decoded =
    DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet)));
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().field, "rack");
  packet.sender = MakeUpdate(9);
  packet.sender.process.peerAddress.clear();
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet))));
  packet.sender = MakeUpdate(9);
  packet.sender.incarnation = UINT64_MAX;
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet))));
  packet.sender.incarnation = kMaxIncarnation + 1;
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet))));
  packet.sender = MakeUpdate(9);
  packet.sentAt = state::WallTime(std::chrono::milliseconds(-1));
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet))));
  packet.sentAt = {};
  packet.sender.memberState = static_cast<MemberState>(4);
  EXPECT_FALSE(DecodeMembershipPacket(ToBytes(EncodeMembershipPacket(packet))));
}

}
}
