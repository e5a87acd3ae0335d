#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform_fakes.h"
#include "support/process_fleet.h"
#include "support/reserved_port.h"

namespace greengage::testing_support {

/** Memory and open descriptors of a process. */
struct ProcessUse
{
  std::size_t residentKb = 0;
  /** Highest resident memory since the process started. */
  std::size_t peakKb = 0;
  std::size_t descriptors = 0;

  auto operator<=>(const ProcessUse&) const = default;
};

/** Reads /proc; all zero if the process has ended. */
ProcessUse
MeasureProcess(const ChildProcess& aProcess);

/** Limits of both processes, lowered so that a few connections reach them. */
struct HostileFleetLimits
{
  /** 200 of them are reserved for files; the others are for connections. */
  unsigned maxDescriptors = 232;
  /** Bytes that a process may hold for its clients together. */
  unsigned clientMemoryKb = 1024;
  unsigned hostMemoryMb = 96;
};

/** One entry and one agent as processes, with a fake store and server. */
class HostileFleet
{
public:
  /** Listeners that a client can reach. */
  enum class Listener
  {
    eCallers,
    eReadiness,
    eEntryMetrics,
    eEntryPeers,
    eAgentControl,
    eAgentMetrics,
    eAgentPeers,
  };

  explicit HostileFleet(HostileFleetLimits aLimits = {});
  ~HostileFleet();

  HostileFleet(const HostileFleet&) = delete;
  HostileFleet& operator=(const HostileFleet&) = delete;

  /** Starts both programs and waits until the entry is ready. */
  bool Start();

  unsigned Port(Listener aListener) const;
  /** Returns the process to which the listener belongs. */
  ChildProcess& Process(Listener aListener);
  /**
   * Sends an ordinary request to the listener, or a job to the entry if the
   * listener is not one for HTTP, and repeats it as callers do for some
   * seconds. Returns true if it is answered with status 200.
   */
  bool AnswersAt(Listener aListener);
  /** Returns true if a job is completed, repeated as callers do. */
  bool CompletesAJob();
  /**
   * Submits an ordinary job once and returns the status of the answer.
   * @param aBodyBytes the body is padded with spaces to this length
   */
  int SubmitJob(std::size_t aBodyBytes = 0);
  std::string Output() const;

private:
  std::string WriteSettings(const std::string& aListen,
                            const std::string& aServer);
  std::unique_ptr<ChildProcess> StartProgram(const std::string& aName,
                                             const std::string& aSettings,
                                             unsigned aMetricsPort);
  unsigned ReservePort() { return ports_.emplace_back().Number(); }

  const HostileFleetLimits limits_;
  transport::TrafficPool traffic_{ 1 };
  FakeStore store_{ traffic_ };
  FakeServerProcess server_{ traffic_, {} };
  std::string storeAddress_ = store_.Start();
  std::string serverAddress_ = server_.Start();
  std::deque<ReservedPort> ports_;
  unsigned callerPort_ = ReservePort();
  unsigned readyPort_ = ReservePort();
  unsigned entryPeerPort_ = ReservePort();
  unsigned agentControlPort_ = ReservePort();
  unsigned agentPeerPort_ = ReservePort();
  unsigned entryMetricsPort_ = ReservePort();
  unsigned agentMetricsPort_ = ReservePort();
  std::uint64_t lastJob_ = 0;
  std::vector<std::string> files_;
  std::unique_ptr<ChildProcess> entry_;
  std::unique_ptr<ChildProcess> agent_;
};

}
