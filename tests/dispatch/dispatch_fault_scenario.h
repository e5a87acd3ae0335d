#pragma once

#include <string>
#include <vector>

#include "dispatch/dispatch_simulation.h"

namespace greengage::testing {

/** Time after which a caller submits a broken attempt again, in ms. */
inline constexpr Milliseconds kResubmitDelay = 1300;
/** The same for an attempt that no entry has read. */
inline constexpr Milliseconds kMinUnreadResubmitDelay = 10;
inline constexpr Milliseconds kMaxUnreadResubmitDelay = 40;

/** Faults that a FaultScenario injects. */
enum class FaultKind
{
  eBreakCaller,
  /** Resets the connections of all callers and all processes. */
  eResetAllHosts,
  eResetDirection,
  /** Resets a connection whose successor takes up to 3 s to be opened. */
  eSlowReopening,
  eHoldMessages,
  eDelayMessages,
  eSilence,
  ePartition,
  eFreezeEntry,
  eStallEntry,
  eBusyEntry,
  eKillEntry,
  eFreezeAgent,
  eStallAgent,
  eBusyAgent,
  eKillAgent,
  eStepAgentClock,
  eRestartServer,
  eLeave,
  eLateLeaveNotice,
  eFailToConnect,
  eResetCalls,
  eUnhealthyServer,
  eHangingServer,
  eSlowServer,
};

/** Returns all kinds of faults. */
std::vector<FaultKind>
AllFaults();

/** Returns the settings of a simulation in which all faults can happen. */
DispatchSimulationSettings
FaultSimulationSettings(std::uint64_t aSeed);

/**
 * Random faults and callers that follow the platform's rules: after a broken
 * connection, no answer, a 502 or a 504, they submit the job again to another
 * entry: kResubmitDelay later, or 10 to 40 ms later if no entry had read the
 * request when its connection broke. All is derived from one seed.
 */
class FaultScenario
{
public:
  FaultScenario(const DispatchSimulationSettings& aSettings,
                std::vector<FaultKind> aKinds);

  /** Runs to 5 s after the end of the last job and checks what still runs. */
  DispatchSimulation& Run();
  /** Returns the faults, one per line. */
  const std::string& Faults() const { return faults_; }

private:
  struct Job
  {
    std::uint64_t id = 0;
    unsigned tasks = 0;
    double workMs = 0;
    std::uint32_t priority = 0;
    unsigned attempts = 0;
  };

  unsigned Random(unsigned aBelow)
  {
    return static_cast<unsigned>(random_() % aBelow);
  }
  double RandomShare(double aFrom);
  void ScheduleAt(Milliseconds aTime, std::function<void()> aFunction)
  {
    simulation_.ScheduleAt(simulation_.Now() + aTime, std::move(aFunction));
  }
  void SubmitNewJob();
  void SubmitJob(Job aJob, unsigned aEntry);
  void AwaitAnswer(const Job& aJob, std::size_t aNumber);
  /** Returns the delay of the next attempt after a broken connection. */
  Milliseconds DelayAfterBreak(const SubmissionRecord& aRecord);
  void ResubmitAt(Milliseconds aTime, const Job& aJob, unsigned aEntry);

  void InjectFault();
  void InjectLinkFault(FaultKind aKind, Milliseconds aTime);
  void InjectEntryFault(FaultKind aKind, Milliseconds aTime);
  void InjectAgentFault(FaultKind aKind, Milliseconds aTime);
  void InjectServerFault(FaultKind aKind, Milliseconds aTime);
  void InjectCallFault(FaultKind aKind, Milliseconds aTime);
  LinkDirection RandomDirection();

  std::mt19937_64 random_;
  DispatchSimulation simulation_;
  std::vector<FaultKind> kinds_;
  std::uint64_t jobs_ = 0;
  std::string faults_;
};

}
