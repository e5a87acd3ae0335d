#pragma once

#include <map>
#include <vector>

#include "coordination/dispatch/server_messages.h"

namespace greengage::testing {

/**
 * One incarnation of a backend server as its protocol describes it: runs end
 * with the lease on a clock that starts anew, lower fencing tokens and run
 * numbers are refused, and ends are listed until they are acknowledged. Unlike
 * FakeServer, its clock may run slow and it limits the leases.
 */
class ServerModel
{
public:
  /** Virtual time in ms. */
  using Time = std::int64_t;
  static constexpr Time kMaxLease = 1000;

  /** @param aRate speed of the clock, 1: correct */
  ServerModel(Time aBornAt, double aRate);

  std::uint64_t Born() const { return static_cast<std::uint64_t>(bornAt_) + 1; }
  std::uint64_t Token() const { return token_; }
  std::chrono::milliseconds Clock(Time aNow) const;

  /** @param aRunTime run time in ms if the run is started */
  coordination::StartAnswer Start(const coordination::StartRunCall& aCall,
                                  Time aNow,
                                  Time aRunTime);
  /**
   * Returns false if the fencing token is stale.
   * @param aStopTime time in ms after which the run ends
   */
  bool Stop(const coordination::StopRunCall& aCall, Time aNow, Time aStopTime);
  /** Returns false if the fencing token is stale. */
  bool Renew(const coordination::RenewCall& aCall, Time aNow);
  coordination::RenewAnswer List(Time aNow) const;
  bool HasEnds() const { return !ends_.empty(); }
  bool IsRunning(const state::RunKey& aRun) const
  {
    return runs_.contains(aRun);
  }
  /** Ends the runs that are done or whose lease has expired. */
  void Advance(Time aNow);

private:
  void ExtendLease(std::chrono::milliseconds aEnd, Time aNow);
  void End(const state::RunKey& aRun, coordination::RunEndKind aKind);

  Time bornAt_;
  double rate_;
  std::uint64_t token_ = 0;
  std::chrono::milliseconds leaseEnd_{ 0 };
  /** Running runs and the times at which they are done. */
  std::map<state::RunKey, Time> runs_;
  /** Highest run of each task that the server refuses to start. */
  std::map<state::TaskKey, std::uint32_t> refusedUpTo_;
  std::vector<coordination::ListedEnd> ends_;
  std::uint64_t nextEnd_ = 1;
};

}
