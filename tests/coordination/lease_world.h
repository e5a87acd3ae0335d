#pragma once

#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/ownership/ownership_lease.h"

namespace greengage::coordination {

using std::chrono::milliseconds;

/** Faults of the network between the processes of a LeaseWorld. */
struct LeaseNetwork
{
  /** Per cent of the messages. */
  unsigned loss = 0;
  unsigned duplication = 0;
  milliseconds maxDelay{ 5 };
};

/**
 * Processes with an ownership lease, a network and a log in virtual time.
 * After each step it checks that no two leases are valid at once, that the
 * shard is not without an owner for too long, and that a new owner knows all
 * agents of earlier ones.
 */
class LeaseWorld
{
public:
  LeaseWorld(unsigned aSeed, unsigned aEntries, unsigned aAgents);

  LeaseNetwork network;
  /** Members lose their memory but keep their identity: a wrong design. */
  bool forgetful = false;
  bool logUp = true;

  struct Process;
  Process& At(std::size_t aIndex) { return *processes_[aIndex]; }
  std::size_t Count() const { return processes_.size(); }

  void Run(milliseconds aDuration);
  /** The process ends and starts again with a new identity. */
  void Restart(std::size_t aIndex);
  void Kill(std::size_t aIndex);
  void SetPaused(std::size_t aIndex, bool aPaused);
  /** Processes reach each other only inside their side. */
  void SetSide(std::size_t aIndex, unsigned aSide);
  void SetLogUp(bool aUp);
  /** Ends all old members and appends a forced record of the others. */
  void Force();
  /** A random fault or repair. */
  void Disturb();

  /** Index of the process with a valid lease, or -1. */
  int Owner() const;
  const std::vector<std::string>& Violations() const { return violations_; }
  /** Longest time without an owner while one was possible. */
  milliseconds LongestGap() const { return longestGap_; }
  const OwnershipGroups& Groups() const { return groups_; }
  std::size_t LogSize() const { return log_.size(); }
  unsigned Random(unsigned aBelow);

  struct Process
  {
    struct SkewedClock : state::Clock
    {
      const milliseconds* now = nullptr;
      milliseconds skew{ 0 };
      milliseconds wallJump{ 0 };
      state::MonotonicTime MonotonicNow() const override
      {
        return state::MonotonicTime(*now + skew);
      }
      state::WallTime WallNow() const override
      {
        return state::WallTime(*now + wallJump + std::chrono::hours(9999));
      }
    };
    ProcessInfo info;
    SkewedClock clock;
    std::unique_ptr<OwnershipLease> lease;
    bool alive = true;
    bool paused = false;
    unsigned side = 0;
    std::size_t logPosition = 0;
    bool released = false;
    unsigned owned = 0;
    unsigned lost = 0;
    unsigned tokenChanges = 0;
    bool agentsComplete = true;
    std::vector<AgentInUse> inherited;
    std::vector<ProcessInfo> usable;
  };

private:
  using Record = std::variant<OwnershipRecord, OwnershipActivated>;
  struct Message
  {
    milliseconds due;
    std::size_t from;
    state::ProcessId sender;
    state::ProcessId to;
    std::variant<LeaseRequest, LeaseReply> body;
  };

  void StartProcess(std::size_t aIndex);
  LeaseHooks HooksOf(std::size_t aIndex);
  void Send(std::size_t aFrom,
            const state::ProcessId& aTo,
            const std::variant<LeaseRequest, LeaseReply>& aBody);
  void Append(std::size_t aFrom, Record aRecord);
  void Step();
  void Deliver();
  void DeliverOne(const Message& aMessage);
  void ReadLog(Process& aProcess);
  void TellProcesses();
  void Check();
  bool OwnerPossible() const;
  bool MayLose(std::size_t aIndex) const;
  void OfferNewAgent();

  milliseconds now_{ 1000 };
  std::mt19937 random_;
  std::uint64_t lastId_ = 0;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<Message> messages_;
  std::vector<Record> log_;
  OwnershipGroups groups_;
  std::set<state::ProcessId> acknowledged_;
  std::uint64_t lastAgent_ = 0;
  std::vector<std::string> violations_;
  milliseconds gapStart_{ 0 };
  milliseconds longestGap_{ 0 };
};

}
