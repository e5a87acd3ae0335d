#include "transport/peer_traffic.h"

#include <algorithm>

#include <fmt/format.h>

#include "protocol/peer_codec.h"

namespace greengage::transport {

using coordination::PeerMessage;

namespace {

struct MessageKind
{
  std::string_view name;
  TrafficClass trafficClass = TrafficClass::eControl;
};

// In the order of the alternatives of PeerMessage.
constexpr std::array kMessageKinds{
  MessageKind{ "hello", TrafficClass::eControl },
  MessageKind{ "submit_job", TrafficClass::eJob },
  MessageKind{ "job_answer", TrafficClass::eJob },
  MessageKind{ "query_job", TrafficClass::eJob },
  MessageKind{ "cancel_job", TrafficClass::eJob },
  MessageKind{ "start_tasks", TrafficClass::eJob },
  MessageKind{ "task_results", TrafficClass::eJob },
  MessageKind{ "cancel_tasks", TrafficClass::eJob },
  MessageKind{ "fence", TrafficClass::eControl },
  MessageKind{ "fence_reply", TrafficClass::eControl },
  MessageKind{ "history_query", TrafficClass::eJob },
  MessageKind{ "history_reply", TrafficClass::eJob },
  MessageKind{ "agent_status", TrafficClass::eControl },
  MessageKind{ "lease_request", TrafficClass::eControl },
  MessageKind{ "lease_reply", TrafficClass::eControl },
  MessageKind{ "owner_announcement", TrafficClass::eControl },
  MessageKind{ "configuration_pull", TrafficClass::eControl },
  MessageKind{ "configuration_records", TrafficClass::eControl },
  MessageKind{ "drain_agent", TrafficClass::eControl },
  MessageKind{ "dispatch_orders", TrafficClass::eJob },
  MessageKind{ "server_report", TrafficClass::eJob },
  MessageKind{ "configuration_copy", TrafficClass::eControl },
  MessageKind{ "document_request", TrafficClass::eControl },
  MessageKind{ "document_part", TrafficClass::eControl },
  MessageKind{ "crash_news", TrafficClass::eJob },
};
static_assert(kMessageKinds.size() == std::variant_size_v<PeerMessage>,
              "every kind of peer message needs a name and a class");

std::string_view
ToString(TrafficClass aClass)
{
  return aClass == TrafficClass::eJob ? "job" : "control";
}

Counter&
FindBytes(MetricsRegistry& aMetrics,
          std::string_view aDirection,
          TrafficClass aClass)
{
  return aMetrics.FindCounter(
    { "greengage_peer_bytes_total",
      fmt::format(
        "class=\"{}\",direction=\"{}\"", ToString(aClass), aDirection) },
    "Bytes of frames to and from peers, by class of traffic");
}

bool
IsControl(const PeerMessage& aMessage)
{
  return MessageTrafficClass(aMessage) == TrafficClass::eControl;
}

/** Returns the bytes of a frame that belong to its control messages. */
std::size_t
ControlBytes(const std::vector<PeerMessage>& aMessages, std::size_t aBytes)
{
  std::vector<PeerMessage> control;
  std::copy_if(
    aMessages.begin(), aMessages.end(), std::back_inserter(control), IsControl);
  if (control.empty()) {
    return 0;
  }
  if (control.size() == aMessages.size()) {
    return aBytes;
  }
  // Frames with both classes are rare and control messages are small, so
  // encoding the control messages again is cheap.
  return std::min(aBytes, protocol::EncodeFrame(control).size());
}

}

std::string_view
MessageKindName(const PeerMessage& aMessage)
{
  return kMessageKinds[aMessage.index()].name;
}

TrafficClass
MessageTrafficClass(const PeerMessage& aMessage)
{
  return kMessageKinds[aMessage.index()].trafficClass;
}

PeerTraffic::PeerTraffic(MetricsRegistry& aMetrics, std::string_view aDirection)
  : frames_(aMetrics.FindCounter(
      { "greengage_peer_frames_total", MetricLabel("direction", aDirection) },
      "Frames to and from peers"))
  , controlBytes_(FindBytes(aMetrics, aDirection, TrafficClass::eControl))
  , jobBytes_(FindBytes(aMetrics, aDirection, TrafficClass::eJob))
{
  for (std::size_t i = 0; i < kMessageKindCount; ++i) {
    const MessageKind& kind = kMessageKinds[i];
    messages_[i] = &aMetrics.FindCounter(
      { "greengage_peer_messages_total",
        fmt::format("class=\"{}\",direction=\"{}\",kind=\"{}\"",
                    ToString(kind.trafficClass),
                    aDirection,
                    kind.name) },
      "Messages to and from peers, by kind");
  }
}

void
PeerTraffic::Count(const std::vector<PeerMessage>& aMessages,
                   std::size_t aBytes)
{
  frames_.Add();
  std::size_t control = ControlBytes(aMessages, aBytes);
  controlBytes_.Add(control);
  jobBytes_.Add(aBytes - control);
  for (const PeerMessage& message : aMessages) {
    messages_[message.index()]->Add();
  }
}

}
