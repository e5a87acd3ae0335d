#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/messages.h"
#include "transport/metrics.h"

namespace greengage::transport {

/**
 * Class of a peer message. Job traffic grows with the number of jobs, control
 * traffic with the number of processes.
 */
enum class TrafficClass
{
  eControl,
  eJob,
};

/** Returns the message kind as metric label, for example `start_tasks`. */
std::string_view
MessageKindName(const coordination::PeerMessage& aMessage);

TrafficClass
MessageTrafficClass(const coordination::PeerMessage& aMessage);

/**
 * Counts the frames, bytes and messages of all peer connections in one
 * direction. May be used from any thread.
 */
class PeerTraffic
{
public:
  /** aDirection is the value of the metric label: `sent` or `received`. */
  PeerTraffic(MetricsRegistry& aMetrics, std::string_view aDirection);

  /** Counts a frame of aBytes bytes, including its length field. */
  void Count(const std::vector<coordination::PeerMessage>& aMessages,
             std::size_t aBytes);

private:
  static constexpr std::size_t kMessageKindCount =
    std::variant_size_v<coordination::PeerMessage>;

  Counter& frames_;
  Counter& controlBytes_;
  Counter& jobBytes_;
  std::array<Counter*, kMessageKindCount> messages_{};
};

}
