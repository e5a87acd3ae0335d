#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/messages.h"
#include "transport/metrics.h"

namespace greengage::transport {

/** Job traffic grows with the jobs, control traffic with the processes. */
enum class TrafficClass
{
  eControl,
  eJob,
};

/** Name of the message kind in figures, for example `start_tasks`. */
std::string_view
MessageKindName(const coordination::PeerMessage& aMessage);

TrafficClass
MessageTrafficClass(const coordination::PeerMessage& aMessage);

/**
 * Frames, bytes and messages of all peer connections, in one direction. May be
 * used from any thread.
 */
class PeerTraffic
{
public:
  /** aDirection is the label: `sent` or `received`. */
  PeerTraffic(MetricsRegistry& aMetrics, std::string_view aDirection);

  /** Counts one frame of aBytes (with its length field). */
  void Count(const std::vector<coordination::PeerMessage>& aMessages,
             std::size_t aBytes);

private:
  static constexpr std::size_t kKinds =
    std::variant_size_v<coordination::PeerMessage>;

  Counter& frames_;
  Counter& controlBytes_;
  Counter& jobBytes_;
  std::array<Counter*, kKinds> messages_{};
};

}
