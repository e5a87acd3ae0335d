#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_fakes.h"
#include "soak/loopback_proxy.h"
#include "soak/soak_checker.h"
#include "support/reserved_port.h"

namespace greengage::testing_support {

/**
 * Runs the platform's programs as processes, with fake servers, a fake store,
 * proxies between them, callers, and faults derived from a seed. The faults of
 * each process, of the proxies and of the store are injected independently, so
 * that they overlap.
 */
class SoakFleet
{
public:
  explicit SoakFleet(std::uint64_t aSeed);
  ~SoakFleet();

  /** Waits after the start until every entry completes a job. */
  bool AwaitReady(std::chrono::milliseconds aTimeout);
  /** Submits jobs and injects faults for this long. */
  void Run(std::chrono::milliseconds aTime);
  /** Returns true if every entry completes a job within the timeout. */
  bool CompletesJobs(std::chrono::milliseconds aTimeout);
  /** Stops all processes with SIGTERM; false if one does not exit cleanly. */
  bool EndsCleanly();

  SoakChecker& Checker() { return checker_; }
  /** Returns the output of all processes, for failure reports. */
  std::string Logs() const;

private:
  struct ManagedProcess
  {
    std::string program;
    std::string settingsPath;
    std::unique_ptr<ChildProcess> process;
    std::string earlierLogs;
  };

  void StartProcess(ManagedProcess& aProcess);
  std::string WriteSettings(const std::string& aDataCentre,
                            const std::string& aListen,
                            const std::string& aServer,
                            const std::string& aStore);
  void AdvanceServers();
  void AnnounceRepeatedly(unsigned aServer);
  void InjectProcessFaults(ManagedProcess& aProcess, std::uint64_t aSeed);
  void InjectProxyFaults(std::uint64_t aSeed);
  void InjectStoreFaults(std::uint64_t aSeed);
  /**
   * Evacuates the data centre of the first server again and again. The first
   * evacuation lasts until it must be in force, however short the soak is.
   */
  void PlayEvacuations(std::uint64_t aSeed);
  /** Waits until the evacuation that was just requested must be in force. */
  void AwaitEvacuationBound();
  void RunCaller(std::uint64_t aSeed);
  /** Submits a job once; returns the HTTP status, 0 if there was no answer. */
  int Submit(unsigned aEntry,
             const state::DispatchJobId& aJob,
             unsigned aTasks);
  /** Returns a new ID with letters in upper and lower case. */
  state::DispatchJobId NextJobId();
  /**
   * Returns a port that no concurrent test and no outgoing connection uses,
   * even while no process listens on it.
   */
  unsigned ReservePort();
  void SleepRandomly(std::mt19937_64& aRandom,
                     unsigned aFromMs,
                     unsigned aToMs);

  std::uint64_t seed_;
  transport::TrafficPool traffic_{ 2 };
  SoakChecker checker_;
  FakeStore store_{ traffic_ };
  std::vector<std::unique_ptr<FakeServerProcess>> servers_;
  std::vector<std::unique_ptr<LoopbackProxy>> proxies_;
  std::vector<std::unique_ptr<ManagedProcess>> processes_;
  std::vector<std::string> files_;
  std::vector<std::string> callerAddresses_;
  std::vector<std::string> announceAddresses_;
  std::vector<unsigned> controlPorts_;
  std::atomic<bool> isInjectingFaults_{ true };
  std::atomic<bool> isCalling_{ true };
  std::atomic<bool> isAnnouncing_{ true };
  std::atomic<std::uint64_t> nextJob_;
  std::deque<ReservedPort> ports_;
  std::atomic<unsigned> configurationVersion_{ 1 };
  std::vector<std::thread> announcers_;
};

}
