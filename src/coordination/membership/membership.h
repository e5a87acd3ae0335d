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

/** What a Membership may ask its surroundings to do. */
struct MembershipHooks
{
  /** Sends one packet; it may be lost. */
  std::function<void(const std::string& aAddress, const MembershipPacket&)>
    send;
  /** A member is new, or its state or attributes changed. */
  std::function<void(const MemberUpdate&)> changed;
  /** The member has the address of an earlier process, which is dead. */
  std::function<void(const state::ProcessId& aDead, const MemberUpdate&)>
    replaced;
  /** A member's wall clock is ahead (or behind) by more than 500 ms. */
  std::function<void(const ProcessInfo&, std::chrono::milliseconds)>
    clockDiffers;
  /** Uniform random number. */
  std::function<std::uint64_t()> random;
};

/**
 * Membership of all processes by SWIM with suspicion. Every period a process
 * pings its successor on a ring, so that each member is pinged in every
 * period, and one other member in random order. Changes are piggybacked;
 * urgent ones are also sent between the periods. Used by the control thread
 * only.
 */
class Membership
{
public:
  /**
   * @param aSelf its address is used over UDP as well; data centre and rack
   *   have at most kMaxPlaceNameBytes
   * @param aSeeds addresses to join through, this one included or not
   */
  Membership(const ProcessInfo& aSelf,
             std::vector<std::string> aSeeds,
             const state::Clock& aClock,
             MembershipHooks aHooks);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void OnPacket(const MembershipPacket& aPacket);

  /** Call every 50 ms. */
  void Tick();

  /** Announces changed attributes, for example draining. */
  void SetSelf(const ProcessInfo& aSelf);
  void SetSeeds(std::vector<std::string> aSeeds);
  void SetConfigurationVersion(std::uint64_t aVersion);
  /** Announces the end of this process; call Tick() some more times. */
  void Leave();

  /** Members that are alive or suspect, this process included. */
  std::vector<ProcessInfo> Alive() const;
  /** The other members known, dead ones included. */
  std::vector<MemberUpdate> Members() const { return table_.All(); }
  /** Belief about the process on an address; null if there is none. */
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

  void Learn(const MemberUpdate& aUpdate, bool aNews);
  void LearnAboutSelf(const MemberUpdate& aUpdate);
  void LearnFromList(const MemberUpdate& aUpdate);
  void Handle(const MembershipPacket& aPacket, const Ping& aPing);
  void Handle(const MembershipPacket& aPacket, const Ack& aAck);
  void Handle(const MembershipPacket& aPacket, const PingRequest& aRequest);
  void Handle(const MembershipPacket& aPacket, const Gossip&);
  void Handle(const MembershipPacket& aPacket, const MemberList&);
  void MeasureClock(const MembershipPacket& aPacket, const Ack& aAck);
  bool Disbelieves(const MemberUpdate& aSender) const;

  void DetectPause();
  void StartPeriod();
  void SendProbe(const std::string& aAddress);
  std::string NextInOrder();
  void CheckProbes();
  void CheckSuspicions();
  void SpreadUrgent();
  void SendLists();
  void Reconnect();
  std::vector<std::string> RandomLive(std::size_t aCount,
                                      const std::string& aExcept);

  void Send(const std::string& aAddress,
            MembershipBody aBody,
            bool aTellBelief = false);
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
  /** Requests for lists beyond those to the seeds, which may be busy. */
  unsigned listRequestsLeft_ = 0;
  /** Packets that may be sent between the periods. */
  double gossipTokens_ = 0;
  /** Round-robin order of random probes. */
  std::vector<std::string> order_;
  /** Members that others believe to be alive and this process dead. */
  std::deque<std::string> contested_;
  std::deque<ListTransfer> transfers_;
};

}
