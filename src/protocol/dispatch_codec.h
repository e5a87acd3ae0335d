#pragma once

#include <tl/expected.hpp>

#include "coordination/dispatch/dispatch_messages.h"
#include "protocol/peer.capnp.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

void
EncodeDispatchOrders(const coordination::DispatchOrders& aOrders,
                     wire::DispatchOrders::Builder aBuilder);

/** Returns an error for too many data centres. */
tl::expected<coordination::DispatchOrders, ProtocolError>
DecodeDispatchOrders(wire::DispatchOrders::Reader aReader);

void
EncodeServerReport(const coordination::ServerReport& aReport,
                   wire::ServerReport::Builder aBuilder);

/** Returns an error for an unknown kind or condition, or too many items. */
tl::expected<coordination::ServerReport, ProtocolError>
DecodeServerReport(wire::ServerReport::Reader aReader);

void
EncodeEntryNews(const coordination::EntryNews& aNews,
                wire::EntryNews::Builder aBuilder);

/** Returns an error for too many items. */
tl::expected<coordination::EntryNews, ProtocolError>
DecodeEntryNews(wire::EntryNews::Reader aReader);

}
