#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_fleet.h"
#include "soak/loopback_proxy.h"
#include "soak/soak_ledger.h"

namespace greengage::testing_support {

/**
 * The platform's programs as processes, with stand-ins of servers and store,
 * proxies between them, callers, and faults that a seed chooses. Everything
 * overlaps: each process, proxy and the store has its own series of faults.
 */
class SoakFleet
{
public:
  explicit SoakFleet(std::uint64_t aSeed);
  ~SoakFleet();

  /** Waits until every entry takes jobs. */
  bool AwaitReady(std::chrono::milliseconds aTimeout);
  /** Callers submit, and faults happen, for this long. */
  void Run(std::chrono::milliseconds aTime);
  /** True if every entry completes a job once the faults have ended. */
  bool ServesAgain(std::chrono::milliseconds aTimeout);
  /** Ends all processes by signal; false if one does not end cleanly. */
  bool EndsCleanly();

  SoakLedger& Ledger() { return ledger_; }
  /** What the processes have written, for a report of a failure. */
  std::string Logs() const;

private:
  struct Slot
  {
    std::string program;
    std::string settingsPath;
    std::unique_ptr<ChildProcess> process;
    std::string earlierLogs;
  };

  void StartSlot(Slot& aSlot);
  std::string WriteSettings(const std::string& aListen,
                            const std::string& aServer,
                            const std::string& aStore);
  void AdvanceServers();
  void Announce(unsigned aServer);
  void FaultProcess(Slot& aSlot, std::uint64_t aSeed);
  void FaultProxies(std::uint64_t aSeed);
  void FaultStore(std::uint64_t aSeed);
  void Call(std::uint64_t aSeed);
  /** One attempt; the status is 0 if there was no answer. */
  int Submit(unsigned aEntry, std::uint64_t aJob, unsigned aTasks);
  /** A port that no other soak and no connection uses, also while it is free.
   */
  unsigned NextPort();
  void Pause(std::mt19937_64& aRandom, unsigned aFromMs, unsigned aToMs);

  std::uint64_t seed_;
  transport::TrafficPool traffic_{ 2 };
  SoakLedger ledger_;
  FakeStore store_{ traffic_ };
  std::vector<std::unique_ptr<FakeServerProcess>> servers_;
  std::vector<std::unique_ptr<LoopbackProxy>> proxies_;
  std::vector<std::unique_ptr<Slot>> slots_;
  std::vector<std::string> files_;
  std::vector<std::string> fronts_;
  std::vector<std::string> announceAddresses_;
  std::vector<unsigned> controlPorts_;
  std::atomic<bool> faults_{ true };
  std::atomic<bool> calls_{ true };
  std::atomic<bool> announcing_{ true };
  std::atomic<std::uint64_t> nextJob_;
  unsigned ports_ = 0;
  std::atomic<unsigned> version_{ 1 };
  std::vector<std::thread> announcers_;
};

}
