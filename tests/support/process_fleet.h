#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace greengage::testing_support {

/** Status and body of a response; status 0 if none came. */
struct HttpReply
{
  int status = 0;
  std::string body;
};

/**
 * One blocking HTTP call to `ip:port`.
 * @param aHeaders further header lines, each with its line end
 */
HttpReply
CallHttp(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         std::chrono::milliseconds aTimeout,
         const std::string& aHeaders = "");

/** One child process whose output goes to a file. */
class ChildProcess
{
public:
  /** Starts a program of the build folder. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments);
  /** Ends the child with SIGKILL if it still runs. */
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  /** True if the child ended with exit code 0 within the timeout. */
  bool EndsCleanly(std::chrono::milliseconds aTimeout);
  /** True if the child has ended, by itself or by a signal. */
  bool HasEnded();
  std::string Output() const;
  /** The word after aPrefix in the output; waits until it is there. */
  std::string AwaitWord(const std::string& aPrefix) const;

private:
  pid_t pid_ = 0;
  bool ended_ = false;
  std::string outputPath_;
};

/** What a fleet consists of. */
struct FleetOptions
{
  std::size_t entries = 1;
  std::size_t agents = 3;
  std::uint32_t slots = 4;
  /** `ip:port` of the platform's log; empty: the fleet starts a fake-log. */
  std::string logAddress;
  /** Further arguments of each process. */
  std::vector<std::string> entryArguments;
  std::vector<std::string> agentArguments;
  std::vector<std::string> backendArguments;
};

/** One entry of the fleet and its addresses. */
struct FleetEntry
{
  std::unique_ptr<ChildProcess> process;
  std::string http;
  std::string peer;
};

/** One agent with its backend server. */
struct FleetAgent
{
  std::unique_ptr<ChildProcess> process;
  std::unique_ptr<ChildProcess> backend;
  std::string backendAddress;
};

/** Real processes on free loopback ports. */
class ProcessFleet
{
public:
  /** Starts everything and waits until the entries know all agents. */
  explicit ProcessFleet(const FleetOptions& aOptions);

  std::vector<FleetEntry>& Entries() { return entries_; }
  std::vector<FleetAgent>& Agents() { return agents_; }
  const std::string& LogAddress() const { return logAddress_; }

  /** Publishes a template and an organisation with default parameters. */
  void Publish(const std::string& aTemplate, const std::string& aOrganisation);

private:
  void StartEntry(const FleetOptions& aOptions);
  void StartAgent(const FleetOptions& aOptions);
  void AwaitAgents();
  void AwaitOwner();

  /** Empty if the options name a log. */
  std::unique_ptr<ChildProcess> log_;
  std::string logAddress_;
  std::vector<FleetEntry> entries_;
  std::vector<FleetAgent> agents_;
};

/** Polls until the condition holds; false after the timeout. */
bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aTimeout);

}
