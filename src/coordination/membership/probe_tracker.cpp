#include "coordination/membership/probe_tracker.h"

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDirectTimeout{ 200 };
constexpr milliseconds kProbeTimeout{ 500 };

}

std::uint64_t
ProbeTracker::Add(const MemberUpdate& aTarget, MonotonicTime aNow)
{
  std::uint64_t sequence = NextSequence();
  probes_.emplace(
    sequence,
    Probe{
      sequence, aTarget.process.id, aTarget.process.peerAddress, aNow, false });
  return sequence;
}

std::uint64_t
ProbeTracker::AddRelay(ProbeRelay aRelay)
{
  std::uint64_t sequence = NextSequence();
  relays_.emplace(sequence, std::move(aRelay));
  return sequence;
}

std::optional<std::chrono::nanoseconds>
ProbeTracker::RoundTrip(const Ack& aAck, MonotonicTime aNow) const
{
  auto probe = probes_.find(aAck.sequence);
  if (probe == probes_.end() || probe->second.target != aAck.responder) {
    return std::nullopt;
  }
  return aNow - probe->second.sentAt;
}

std::optional<ProbeRelay>
ProbeTracker::OnAck(const Ack& aAck)
{
  auto probe = probes_.find(aAck.sequence);
  if (probe != probes_.end()) {
    if (probe->second.target == aAck.responder) {
      probes_.erase(probe);
    }
    return std::nullopt;
  }
  auto found = relays_.find(aAck.sequence);
  if (found == relays_.end() || found->second.target != aAck.responder) {
    return std::nullopt;
  }
  ProbeRelay relay = std::move(found->second);
  relays_.erase(found);
  return relay;
}

std::vector<Probe>
ProbeTracker::CollectDirectTimeouts(MonotonicTime aNow)
{
  std::vector<Probe> timeouts;
  for (auto& [sequence, probe] : probes_) {
    if (!probe.isIndirect && aNow - probe.sentAt >= kDirectTimeout) {
      probe.isIndirect = true;
      timeouts.push_back(probe);
    }
  }
  return timeouts;
}

std::vector<Probe>
ProbeTracker::RemoveFailed(MonotonicTime aNow)
{
  std::vector<Probe> failed;
  std::erase_if(probes_, [&](const auto& aEntry) {
    bool hasTimedOut = aNow - aEntry.second.sentAt >= kProbeTimeout;
    if (hasTimedOut) {
      failed.push_back(aEntry.second);
    }
    return hasTimedOut;
  });
  std::erase_if(relays_, [&](const auto& aEntry) {
    return aNow - aEntry.second.sentAt >= kProbeTimeout;
  });
  return failed;
}

void
ProbeTracker::Clear()
{
  probes_.clear();
  relays_.clear();
}

}
