#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership/membership_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A ping for which no Ack has been received yet. */
struct Probe
{
  std::uint64_t sequence = 0;
  state::ProcessId target;
  std::string address;
  state::MonotonicTime sentAt;
  /** True if other members were requested to ping the target. */
  bool isIndirect = false;

  auto operator<=>(const Probe&) const = default;
};

/** A ping sent on behalf of another process. */
struct ProbeRelay
{
  std::string requester;
  /** Sequence number of the requester's PingRequest. */
  std::uint64_t sequence = 0;
  state::ProcessId target;
  state::MonotonicTime sentAt;

  auto operator<=>(const ProbeRelay&) const = default;
};

/** Tracks the pings for which no Ack has been received yet. */
class ProbeTracker
{
public:
  /** Returns the sequence number for a ping that is not tracked. */
  std::uint64_t NextSequence() { return ++sequence_; }
  std::uint64_t Add(const MemberUpdate& aTarget, state::MonotonicTime aNow);
  std::uint64_t AddRelay(ProbeRelay aRelay);

  /**
   * Returns the time from a ping to its Ack; empty if the Ack belongs to no
   * tracked ping.
   */
  std::optional<std::chrono::nanoseconds> RoundTrip(
    const Ack& aAck,
    state::MonotonicTime aNow) const;

  /**
   * Removes the probe or relay to which the Ack belongs; returns the relay, or
   * empty if the Ack belongs to none.
   */
  std::optional<ProbeRelay> OnAck(const Ack& aAck);

  /**
   * Returns the probes whose direct ping timed out and marks them as indirect,
   * so that each is returned only once.
   */
  std::vector<Probe> CollectDirectTimeouts(state::MonotonicTime aNow);
  /** Removes and returns the probes for which no Ack arrived in time. */
  std::vector<Probe> RemoveFailed(state::MonotonicTime aNow);

  void Clear();

private:
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, ProbeRelay> relays_;
};

}
