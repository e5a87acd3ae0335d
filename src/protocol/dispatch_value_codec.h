#pragma once

#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/evacuation/evacuation_records.h"
#include "protocol/peer.capnp.h"
#include "protocol/protocol_error.h"
#include "protocol/wire_text.h"

// Values that several messages between entries and agents contain.
namespace greengage::protocol {

void
Encode(const state::ResourceAmount& aAmount,
       wire::ResourceAmount::Builder aBuilder);

state::ResourceAmount
Decode(wire::ResourceAmount::Reader aReader);

void
Encode(const state::TaskKey& aTask, wire::TaskKey::Builder aBuilder);

state::TaskKey
Decode(wire::TaskKey::Reader aReader);

void
Encode(const state::RunKey& aKey, wire::RunKey::Builder aBuilder);

state::RunKey
Decode(wire::RunKey::Reader aReader);

std::vector<state::RunKey>
DecodeKeys(::capnp::List<wire::RunKey>::Reader aReader);

void
Encode(const coordination::RunBatch& aBatch, wire::RunBatch::Builder aBuilder);

coordination::RunBatch
Decode(wire::RunBatch::Reader aReader);

void
Encode(const coordination::ServerCrash& aCrash,
       wire::ServerCrash::Builder aBuilder);

tl::expected<coordination::ServerCrash, ProtocolError>
Decode(wire::ServerCrash::Reader aReader);

void
Encode(const state::EvacuationState& aState,
       wire::EvacuationNotice::Builder aBuilder);

void
Encode(const coordination::TaskHolds& aHolds,
       wire::TaskHolds::Builder aBuilder);

tl::expected<coordination::TaskHolds, ProtocolError>
Decode(wire::TaskHolds::Reader aReader);

void
Encode(const coordination::ServerDescription& aDescription,
       wire::ServerDescription::Builder aBuilder);

coordination::ServerDescription
Decode(wire::ServerDescription::Reader aReader);

/** Sets the ID of a message that has it in two fields. */
template<class Builder>
void
EncodeJobId(const state::DispatchJobId& aJob, Builder aBuilder)
{
  aBuilder.setJob(aJob.Number());
  aBuilder.setJobUpperCase(aJob.UpperCase());
}

template<class Reader>
state::DispatchJobId
DecodeJobId(Reader aReader)
{
  return { aReader.getJob(), aReader.getJobUpperCase() };
}

template<class Init>
void
EncodeKeys(const std::vector<state::RunKey>& aKeys, const Init& aInit)
{
  if (aKeys.empty()) {
    return;
  }
  auto keys = aInit(static_cast<unsigned>(aKeys.size()));
  for (unsigned i = 0; i < aKeys.size(); ++i) {
    Encode(aKeys[i], keys[i]);
  }
}

/** Decodes the evacuations in a message, if it has any. */
template<class Reader>
tl::expected<std::optional<state::EvacuationState>, ProtocolError>
DecodeEvacuation(Reader aMessage)
{
  if (!aMessage.hasEvacuation()) {
    return std::nullopt;
  }
  auto notice = aMessage.getEvacuation();
  if (notice.getDataCentres().size() > coordination::kMaxEvacuatedDataCentres) {
    return tl::unexpected(ProtocolError{ "evacuation", "too many" });
  }
  state::EvacuationState state{ notice.getRevision(), {} };
  for (auto dataCentre : notice.getDataCentres()) {
    state.dataCentres.insert(ToString(dataCentre));
  }
  return state;
}

}
