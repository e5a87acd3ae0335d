#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

/** Stand-ins of the platform for the scripts of this review. */
namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/** Ends the script with 2: the case could not run. */
[[noreturn]] void
CannotRun(const std::string& aWhy);

/** record.txt: each line begins with the milliseconds since the start. */
class Record
{
public:
  static void Open(const std::string& aPath);
  static void Write(const std::string& aLine);
  static double Now();
};

/** Answers each request on a thread of its connection. */
class HttpServer
{
public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(const std::string& aIp, unsigned aPort, Handler aHandler);
  ~HttpServer();
  /** Refuses new connections and resets those that are open. */
  void Stop();
  unsigned Port() const { return port_; }

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  unsigned port_;
};

struct Answer
{
  /** 0: no answer. */
  unsigned status = 0;
  std::string body;
};

/** Makes one call; closes the connection after the answer or the timeout. */
Answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     Ms aTimeout);

/** Returns a port that is free on this address. */
unsigned
FreePort(const std::string& aIp);

/** The operator's topic of the platform's store. */
class Store
{
public:
  explicit Store(const std::string& aIp);
  void Put(const std::string& aKey, const std::string& aValue);
  std::string Address() const;

private:
  Response Handle(const Request& aRequest);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> records_;
  std::map<std::string, std::pair<std::string, std::size_t>> newest_;
  std::string ip_;
  std::unique_ptr<HttpServer> http_;
};

struct Start
{
  double at = 0;
  std::string worker;
  /** The first label of the worker: its kind. */
  std::string label;
  std::string job;
  std::string task;
  std::uint64_t run = 0;
  std::string spec;
  /** Far in the future while the run is at work. */
  double end = 1e12;
  std::string how;
};

struct WorkerOptions
{
  std::string ip;
  unsigned port = 0;
  std::string id;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  std::int64_t cpu = 16000;
  /** Work of each task. */
  Ms work{ 600 };
};

/**
 * A sound worker that keeps leases, fences and capacity as PROTOCOL.md says
 * and sends its heartbeats to its agent.
 */
class Worker
{
public:
  Worker(WorkerOptions aOptions, std::string aAgent);
  ~Worker();
  /** Ends all that runs; sends nothing and accepts nothing any more. */
  void Crash();
  std::vector<Start> Starts() const;
  void SetWork(Ms aWork);
  bool IsAcknowledged() const { return isAcknowledged_; }
  /** Carries out a start order that was left unanswered. */
  void CarryOutLate(const boost::json::object& aOrder);
  /** Returns true if a start order is to be left unanswered. */
  std::function<bool(const boost::json::object& aOrder)> withholds;

private:
  struct Run
  {
    std::string task;
    std::uint64_t run;
    std::int64_t cpu;
    Clock::time_point end;
  };
  struct End
  {
    std::uint64_t number;
    std::string task;
    std::uint64_t run;
    std::string how;
  };

  Response Handle(const Request& aRequest);
  Response HandleStart(const Request& aRequest);
  Response HandleStop(const Request& aRequest);
  Response HandleHold(const Request& aRequest);
  std::pair<unsigned, std::string> CarryOut(const boost::json::object& aBody,
                                            bool aIsLate);
  void Advance();
  void AddEnd(const Run& aRun, const std::string& aHow);
  void SetEnd(const Run& aRun, const std::string& aHow);
  bool TakeFence(const boost::json::object& aBody);
  void TakeDeadline(const boost::json::object& aBody);
  Response Respond(unsigned aStatus, boost::json::object aBody);
  void Beat();
  std::int64_t ClockMs() const;

  WorkerOptions options_;
  std::string agent_;
  Clock::time_point bornAt_;
  std::int64_t born_;
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  std::vector<Run> running_;
  std::list<End> ends_;
  std::map<std::string, std::uint64_t> highestEnded_;
  std::uint64_t nextEnd_ = 1;
  std::int64_t fence_ = 0;
  Clock::time_point lease_;
  std::vector<Start> starts_;
  std::atomic<bool> isAcknowledged_{ false };
  std::atomic<bool> isUp_{ true };
  std::unique_ptr<HttpServer> http_;
  std::thread beater_;
};

/** One of the project's programs, with the command of the deploy file. */
class Program
{
public:
  Program(std::string aName, std::string aRole, boost::json::object aSettings);
  ~Program();
  void Launch();
  void Signal(int aSignal);
  /** Sends SIGKILL and waits for the end. */
  void Kill();
  void Stop();
  const std::string& Name() const { return name_; }
  /** True if it has ended although no signal was sent. */
  bool HasEnded();

private:
  std::string name_;
  std::string role_;
  std::string settingsPath_;
  std::string logPath_;
  unsigned metricsPort_;
  pid_t pid_ = 0;
};

/** A small deployment in three zones: entries, and agents with a worker. */
class Fleet
{
public:
  struct Side
  {
    std::string ip;
    std::unique_ptr<Program> agent;
    std::unique_ptr<Worker> worker;
    WorkerOptions options;
    std::string control;
  };
  struct Entry
  {
    std::string ip;
    std::string front;
    std::string ready;
    std::unique_ptr<Program> program;
  };

  explicit Fleet(unsigned aSides);
  ~Fleet();
  void StartWorker(unsigned aSide);
  void Launch();
  /** Waits until all entries are ready and complete a job. */
  void AwaitReady();
  /** Submits a job. */
  Answer Post(unsigned aEntry,
              const std::string& aJob,
              const std::string& aSpec,
              const boost::json::object& aStep,
              Ms aDeadline);
  Answer Delete(unsigned aEntry, const std::string& aJob, Ms aDeadline);
  Answer Ready(unsigned aEntry);
  std::vector<Start> Starts() const;
  std::string NewJob();

  std::vector<Entry> entries;
  std::vector<Side> sides;
  std::unique_ptr<Store> store;
  const std::string service = "huvo11a";
  const std::string host = "nony24.example";
  const std::string prefix = "/lohu930/";

  /** Workers that are gone: their starts still count. */
  std::vector<std::unique_ptr<Worker>> former;

private:
  boost::json::object Settings(const std::string& aNode,
                               const std::string& aClass,
                               const std::string& aIp,
                               const std::string& aZone) const;
  std::string net_;
  unsigned internalPort_ = 0;
  std::vector<std::string> seeds_;
  std::uint64_t nextJob_;
};

void
Sleep(Ms aTime);

/** False if TROUBLE=0: the script runs without its disruption. */
bool
HasTrouble();

}
