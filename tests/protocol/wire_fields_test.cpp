#include <string>

#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <capnp/pretty-print.h>
#include <capnp/schema.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include "protocol/membership.capnp.h"
#include "protocol/membership_codec.h"
#include "protocol/peer.capnp.h"
#include "protocol/peer_codec.h"

// Fills messages by means of their schema, so that a field that is added later
// is tested too.
namespace greengage::protocol {
namespace {

using ::capnp::DynamicList;
using ::capnp::DynamicStruct;
using ::capnp::StructSchema;

std::string
NameOf(StructSchema::Field aField)
{
  return aField.getProto().getName().cStr();
}

/** Values of the fields of one message; all of them differ if possible. */
class FieldValues
{
public:
  /** Sets a field, and those below it, to a value that is valid for it. */
  void Set(DynamicStruct::Builder aStruct, StructSchema::Field aField)
  {
    auto type = aField.getType();
    switch (type.which()) {
      case ::capnp::schema::Type::STRUCT:
        SetAll(aStruct.init(aField).as<DynamicStruct>());
        return;
      case ::capnp::schema::Type::LIST:
        SetItem(aStruct.init(aField, 1).as<DynamicList>(),
                type.asList().getElementType());
        return;
      case ::capnp::schema::Type::VOID:
        aStruct.set(aField, ::capnp::VOID);
        return;
      case ::capnp::schema::Type::TEXT:
        aStruct.set(aField, ToReader(NextText(NameOf(aField))));
        return;
      case ::capnp::schema::Type::DATA: {
        std::string bytes = NextText("");
        aStruct.set(aField,
                    ::capnp::Data::Reader(
                      reinterpret_cast<const ::capnp::byte*>(bytes.data()),
                      bytes.size()));
        return;
      }
      case ::capnp::schema::Type::BOOL:
        aStruct.set(aField, true);
        return;
      case ::capnp::schema::Type::UINT8:
      case ::capnp::schema::Type::UINT16:
        // Mostly the values of an enumeration.
        aStruct.set(aField, 1);
        return;
      default:
        aStruct.set(aField, NextNumber());
    }
  }

  void SetAll(DynamicStruct::Builder aStruct)
  {
    for (auto field : aStruct.getSchema().getNonUnionFields()) {
      Set(aStruct, field);
    }
  }

private:
  void SetItem(DynamicList::Builder aList, ::capnp::Type aType)
  {
    if (aType.isStruct()) {
      SetAll(aList[0].as<DynamicStruct>());
    } else {
      aList.set(0, ToReader(NextText("")));
    }
  }

  static ::capnp::Text::Reader ToReader(const std::string& aText)
  {
    return { aText.c_str(), aText.size() };
  }

  /** Contains U+0000 unless the decoder allows only names in the field. */
  std::string NextText(const std::string& aField)
  {
    std::string number = std::to_string(++counter_);
    bool isName = aField == "organisation" || aField == "templateName";
    return isName ? "n" + number
                  : number + std::string("\0\"\\\n\xc3\xa4\0", 7) + number;
  }

  /**
   * Ends in the hexadecimal digit b, so that a job ID with this number has a
   * letter, whose case is another field.
   */
  std::uint32_t NextNumber() { return ++counter_ << 4 | 0xb; }

  std::uint32_t counter_ = 10;
};

std::span<const std::byte>
ToBytes(const std::string& aText)
{
  return std::as_bytes(std::span(aText));
}

std::string
ToBytes(::capnp::MessageBuilder& aMessage)
{
  auto words = ::capnp::messageToFlatArray(aMessage);
  auto bytes = words.asChars();
  return { bytes.begin(), bytes.size() };
}

/** Returns the message as text with all its fields. */
template<class Root>
std::string
Print(const std::string& aBytes)
{
  auto words =
    kj::heapArray<::capnp::word>(aBytes.size() / sizeof(::capnp::word));
  std::copy_n(aBytes.data(), aBytes.size(), words.asChars().begin());
  ::capnp::FlatArrayMessageReader reader(words);
  auto text = ::capnp::prettyPrint(reader.getRoot<Root>()).flatten();
  return { text.begin(), text.size() };
}

// Guards against a field of a message between processes that is lost or changed
// on the way, for example a text that is cut at its first U+0000.
TEST(WireFieldsTest, EveryFieldOfAMessageIsKept)
{
  auto kinds = ::capnp::Schema::from<wire::Message>().getUnionFields();
  ASSERT_GT(kinds.size(), 0u);
  for (auto kind : kinds) {
    ::capnp::MallocMessageBuilder builder;
    auto messages = builder.initRoot<wire::Frame>().initMessages(1);
    FieldValues values;
    values.Set(::capnp::toDynamic(messages[0]), kind);
    std::string sent = ToBytes(builder);
    auto decoded = DecodeFrame(ToBytes(sent));
    std::string name = NameOf(kind);
    ASSERT_TRUE(decoded) << name << ": " << decoded.error().field << " "
                         << decoded.error().message;
    EXPECT_EQ(Print<wire::Frame>(EncodeFrame(*decoded)),
              Print<wire::Frame>(sent))
      << name;
  }
}

// Guards against the same in the packets of the membership protocol.
TEST(WireFieldsTest, EveryFieldOfAMembershipPacketIsKept)
{
  for (auto kind :
       ::capnp::Schema::from<wire::MembershipPacket::Body>().getUnionFields()) {
    ::capnp::MallocMessageBuilder builder;
    auto packet = builder.initRoot<wire::MembershipPacket>();
    FieldValues values;
    for (auto field :
         ::capnp::Schema::from<wire::MembershipPacket>().getNonUnionFields()) {
      if (field.getProto().isSlot()) {
        values.Set(::capnp::toDynamic(packet), field);
      }
    }
    values.Set(::capnp::toDynamic(packet.getBody()), kind);
    std::string sent = ToBytes(builder);
    auto decoded = DecodeMembershipPacket(ToBytes(sent));
    std::string name = NameOf(kind);
    ASSERT_TRUE(decoded) << name << ": " << decoded.error().field << " "
                         << decoded.error().message;
    EXPECT_EQ(Print<wire::MembershipPacket>(EncodeMembershipPacket(*decoded)),
              Print<wire::MembershipPacket>(sent))
      << name;
  }
}

}
}
