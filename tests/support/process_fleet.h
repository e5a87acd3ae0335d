#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace greengage::testing_support {

/** Status and body of a response; the status is 0 without a response. */
struct HttpReply
{
  int status = 0;
  std::string body;
};

/**
 * Sends one HTTP request and waits for the response.
 * @param aAddress `ip:port` of the server
 * @param aHeaders additional header lines, each terminated by CR LF
 */
HttpReply
CallHttp(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         std::chrono::milliseconds aTimeout,
         const std::string& aHeaders = "");

/** A child process whose standard output and error go to a file. */
class ChildProcess
{
public:
  /** Starts a program from the folder of the built programs. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments);
  /** Kills the child process if it is still running. */
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  pid_t Pid() const { return pid_; }
  /**
   * Waits for the end of the child process. Returns true if it exits with
   * code 0 within the timeout.
   */
  bool EndsCleanly(std::chrono::milliseconds aTimeout);
  /** Returns true if the child process has exited or was killed. */
  bool HasEnded();
  std::string Output() const;
  /**
   * Waits until aPrefix and a complete word after it are in the output, and
   * returns the word. Throws after 30 s.
   */
  std::string AwaitWord(const std::string& aPrefix) const;

private:
  pid_t pid_ = 0;
  bool ended_ = false;
  std::string outputPath_;
};

/** Number of processes of a fleet and their arguments. */
struct FleetOptions
{
  std::size_t entries = 1;
  std::size_t agents = 3;
  /** Slots of each backend server. */
  std::uint32_t slots = 4;
  /** `ip:port` of the platform's log; if empty, the fleet starts a fake-log. */
  std::string logAddress;
  /** Additional arguments of each process. */
  std::vector<std::string> entryArguments;
  std::vector<std::string> agentArguments;
  std::vector<std::string> backendArguments;
};

/** An entry and the `ip:port` at which it serves callers and peers. */
struct FleetEntry
{
  std::unique_ptr<ChildProcess> process;
  std::string httpAddress;
  std::string peerAddress;
};

/** An agent and its backend server. */
struct FleetAgent
{
  std::unique_ptr<ChildProcess> process;
  std::unique_ptr<ChildProcess> backend;
  std::string backendAddress;
};

/** Entries, agents and backend servers as processes on loopback ports. */
class ProcessFleet
{
public:
  /**
   * Starts all processes and waits until every entry lists all agents and
   * knows an owner.
   */
  explicit ProcessFleet(const FleetOptions& aOptions);

  std::vector<FleetEntry>& Entries() { return entries_; }
  std::vector<FleetAgent>& Agents() { return agents_; }
  const std::string& LogAddress() const { return logAddress_; }

  /**
   * Publishes a template and an organisation with default parameters and
   * waits until they are in force at every entry.
   */
  void Publish(const std::string& aTemplate, const std::string& aOrganisation);

private:
  void StartEntry(const FleetOptions& aOptions);
  void StartAgent(const FleetOptions& aOptions);
  void AwaitAgents();
  void AwaitOwner();

  /** Null if FleetOptions::logAddress is set. */
  std::unique_ptr<ChildProcess> log_;
  std::string logAddress_;
  std::vector<FleetEntry> entries_;
  std::vector<FleetAgent> agents_;
};

/** Polls until the condition holds; returns false after the timeout. */
bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aTimeout);

}
