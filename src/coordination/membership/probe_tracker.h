#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership/membership_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A ping whose Ack is awaited. */
struct Probe
{
  std::uint64_t sequence = 0;
  state::ProcessId target;
  std::string address;
  state::MonotonicTime sentAt;
  /** Other members were asked to ping the target. */
  bool indirect = false;

  auto operator<=>(const Probe&) const = default;
};

/** A ping sent on behalf of another process. */
struct ProbeRelay
{
  std::string requester;
  /** Sequence number that the requester awaits. */
  std::uint64_t sequence = 0;
  state::ProcessId target;
  state::MonotonicTime sentAt;

  auto operator<=>(const ProbeRelay&) const = default;
};

/** Pings that wait for their Ack. */
class ProbeTracker
{
public:
  /** Numbers a ping without consequences. */
  std::uint64_t NextSequence() { return ++sequence_; }
  std::uint64_t Add(const MemberUpdate& aTarget, state::MonotonicTime aNow);
  std::uint64_t AddRelay(ProbeRelay aRelay);

  /** Time from a direct ping to its Ack; empty if the Ack answers none. */
  std::optional<std::chrono::nanoseconds> RoundTrip(
    const Ack& aAck,
    state::MonotonicTime aNow) const;

  /** The relay that the Ack answers, if it answers one. */
  std::optional<ProbeRelay> OnAck(const Ack& aAck);

  /** Probes without an answer to the direct ping; each is returned once. */
  std::vector<Probe> TakeDirectTimeouts(state::MonotonicTime aNow);
  /** Probes without any answer; they are removed. */
  std::vector<Probe> TakeFailed(state::MonotonicTime aNow);

  void Clear();

private:
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, ProbeRelay> relays_;
};

}
