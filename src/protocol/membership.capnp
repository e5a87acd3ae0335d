@0xd0a61c4be87f2953;

# Packets of the membership protocol. Field meanings are documented in
# src/coordination/membership/membership_messages.h. Fields are only ever added, never
# renumbered. The size of an update is computed in EncodedBytes() there.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("greengage::protocol::wire");

struct MemberUpdate {
  idHigh @0 :UInt64;
  idLow @1 :UInt64;
  incarnation @2 :UInt64;
  configurationVersion @3 :UInt64;
  slots @4 :UInt32;
  memoryMb @5 :UInt32;
  accelerators @6 :UInt32;
  suspectForMs @7 :UInt16;
  role @8 :UInt8;
  memberState @9 :UInt8;
  draining @10 :Bool;
  peerAddress @11 :Text;
  dataCentre @12 :Text;
  rack @13 :Text;
}

struct Ping { sequence @0 :UInt64; wantMembers @1 :Bool; }
struct Ack { sequence @0 :UInt64; responderHigh @1 :UInt64; responderLow @2 :UInt64; }
struct PingRequest {
  sequence @0 :UInt64;
  targetHigh @1 :UInt64;
  targetLow @2 :UInt64;
  targetAddress @3 :Text;
}

struct MembershipPacket {
  sender @0 :MemberUpdate;
  body :union {
    ping @1 :Ping;
    ack @2 :Ack;
    pingRequest @3 :PingRequest;
    gossip @4 :Void;
    memberList @5 :Void;
  }
  updates @6 :List(MemberUpdate);
  sentAtMs @7 :Int64;
}
