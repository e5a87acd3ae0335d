#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "coordination/membership/member_table.h"
#include "coordination/membership/membership_messages.h"
#include "coordination/membership/probe_tracker.h"
#include "coordination/membership/update_queue.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Callbacks of a Membership. */
struct MembershipHooks
{
  /** Sends one packet, which may be lost. */
  std::function<void(const std::string& aAddress, const MembershipPacket&)>
    send;
  /** Called if a member is new or its state or attributes changed. */
  std::function<void(const MemberUpdate&)> changed;
  /** Called if a new process replaced a dead one on the same address. */
  std::function<void(const state::ProcessId& aDead, const MemberUpdate&)>
    replaced;
  /**
   * Called if a member's wall clock differs by more than 500 ms; the difference
   * is positive if the member's clock is ahead.
   */
  std::function<void(const ProcessInfo&, std::chrono::milliseconds)>
    clockDiffers;
  /** Returns a uniform random number. */
  std::function<std::uint64_t()> random;
};

/**
 * Membership of all processes by the SWIM protocol with suspicion. In every
 * period a process pings its successor on a ring, so that each member is pinged
 * in every period, and one other member in random order. Changes are
 * piggybacked on other packets; urgent ones are also sent between the periods.
 * Used by the control thread only.
 */
class Membership
{
public:
  /**
   * @param aSelf this process; its peer address is used over UDP as well, and
   *   the names of its data centre and rack have at most kMaxPlaceNameBytes
   * @param aSeeds addresses of members to join through; the address of this
   *   process is ignored
   */
  Membership(const ProcessInfo& aSelf,
             std::vector<std::string> aSeeds,
             const state::Clock& aClock,
             MembershipHooks aHooks);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void OnPacket(const MembershipPacket& aPacket);

  /** Must be called every 50 ms. */
  void Tick();

  /** Announces changed attributes, for example draining. */
  void SetSelf(const ProcessInfo& aSelf);
  void SetSeeds(std::vector<std::string> aSeeds);
  void SetConfigurationVersion(std::uint64_t aVersion);
  /**
   * Announces the end of this process. Tick() must be called some more times to
   * send the announcement.
   */
  void Leave();

  /** Members that are alive or suspect, this process included. */
  std::vector<ProcessInfo> Alive() const;
  /** All other known members, dead ones included. */
  std::vector<MemberUpdate> Members() const { return table_.All(); }
  /** Last known state of the process on an address; null if unknown. */
  const MemberUpdate* Find(const std::string& aAddress) const
  {
    return table_.Find(aAddress);
  }
  std::size_t LiveCount() const { return table_.Live().size(); }

private:
  struct ListTransfer
  {
    std::string receiver;
    std::vector<std::string> addresses;
  };

  /** Merges an update into table_; queues a change for sending if aSpread. */
  void ApplyUpdate(const MemberUpdate& aUpdate, bool aSpread);
  void ApplyUpdateAboutSelf(const MemberUpdate& aUpdate);
  void ApplyListEntry(const MemberUpdate& aUpdate);
  void Handle(const MembershipPacket& aPacket, const Ping& aPing);
  void Handle(const MembershipPacket& aPacket, const Ack& aAck);
  void Handle(const MembershipPacket& aPacket, const PingRequest& aRequest);
  void Handle(const MembershipPacket& aPacket, const Gossip&);
  void Handle(const MembershipPacket& aPacket, const MemberList&);
  void CheckClock(const MembershipPacket& aPacket, const Ack& aAck);
  /** True if a sender is alive, but table_ has another identity or state. */
  bool DiffersFromTable(const MemberUpdate& aSender) const;

  void DetectPause();
  void StartPeriod();
  void SendProbe(const std::string& aAddress);
  std::string NextProbeTarget();
  void CheckProbes();
  void CheckSuspicions();
  void SendUrgentUpdates();
  void SendLists();
  void Reconnect();
  std::vector<std::string> RandomLive(std::size_t aCount,
                                      const std::string& aExcept);

  /** Sends a packet; aIncludeKnownState adds the state of the receiver. */
  void Send(const std::string& aAddress,
            MembershipBody aBody,
            bool aIncludeKnownState = false);
  MembershipPacket EmptyPacket(MembershipBody aBody) const;
  std::optional<MemberUpdate> LookUp(const std::string& aAddress) const;
  void Announce(bool aUrgent);
  std::size_t RandomBelow(std::size_t aLimit);

  MemberUpdate self_;
  std::vector<std::string> seeds_;
  const state::Clock& clock_;
  MembershipHooks hooks_;
  MemberTable table_;
  UpdateQueue queue_;
  ProbeTracker probes_;
  state::MonotonicTime lastTick_;
  state::MonotonicTime nextPeriod_;
  state::MonotonicTime nextReconnect_;
  state::MonotonicTime nextListRequest_;
  state::MonotonicTime nextListPacket_;
  /** List requests still to be sent to random members, as seeds may be busy. */
  unsigned listRequestsLeft_ = 0;
  /** Number of packets that may be sent between the periods now. */
  double gossipTokens_ = 0;
  /** Remaining probe targets of this round, in random order. */
  std::vector<std::string> probeOrder_;
  /** Members that are dead in table_ but alive in received lists. */
  std::deque<std::string> contested_;
  std::deque<ListTransfer> listTransfers_;
};

}
