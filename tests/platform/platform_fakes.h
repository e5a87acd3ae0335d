#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "dispatch/fake_server.h"
#include "support/process_fleet.h"
#include "transport/http_server.h"
#include "transport/traffic_pool.h"

namespace greengage::testing_support {

/** The part of the platform's store that the programs read. */
class FakeStore
{
public:
  explicit FakeStore(transport::TrafficPool& aTraffic);

  std::string Start();
  /** Makes the document the newest; pending long reads return it. */
  void Publish(const std::string& aDocument);
  /** Appends a record as it is; well-formed ones hold a key and a value. */
  void AppendRecord(std::string aContent);
  /** Appends a record of a key; an empty value removes the key. */
  void Put(const std::string& aKey, const std::string& aValue);
  /**
   * Adds keys of which listings of the newest records, sorted by key, begin
   * with the prefix.
   */
  void AddOtherKeys(unsigned aCount, const std::string& aPrefix = "a ");
  /** While unavailable, the store answers 503. */
  void SetAvailable(bool aAvailable) { available_ = aAvailable; }
  bool IsAvailable() const { return available_; }

private:
  struct LongRead;

  void Handle(const transport::HttpRequest& aRequest,
              transport::HttpResponder aRespond);
  /** Returns one page of the listing of the newest records. */
  std::string ListNewest(const std::string& aTarget);
  void Answer(std::uint64_t aFrom,
              transport::HttpResponder aRespond,
              std::chrono::steady_clock::time_point aUntil);

  transport::TrafficPool& traffic_;
  transport::HttpServer http_;
  std::mutex mutex_;
  std::vector<std::string> records_;
  /** The newest value of each key; empty for a key that was removed. */
  std::map<std::string, std::string> newest_;
  std::atomic<bool> available_{ true };
};

/** Settings and callbacks of a FakeServerProcess. */
struct FakeServerOptions
{
  double workMs = 60;
  /** Start time in ms; must be unique, as the server's id contains it. */
  testing::Milliseconds startedAt = 0;
  /** Called with the server locked when a run has started or ended. */
  std::function<void(const state::RunKey&)> runStarted;
  std::function<void(const state::RunKey&, coordination::RunEndKind)> runEnded;
  /**
   * Called for each order to start a run, before it is carried out, with the
   * task name and the spec of the order and the server unlocked.
   */
  std::function<void(const std::string& aTask, const std::string& aSpec)>
    startOrdered;
};

/** A FakeServer that serves the platform's HTTP calls. */
class FakeServerProcess
{
public:
  FakeServerProcess(transport::TrafficPool& aTraffic,
                    FakeServerOptions aOptions);

  std::string Start();
  /** Sends one announcement; false if the agent does not acknowledge it. */
  bool Announce(const std::string& aAgent, bool aDraining);
  unsigned StartCount();
  /** Returns the specs that the server was told to start, by task name. */
  std::map<std::string, std::string> Specs();
  /** Sets the work of tasks in ms at speed 1. */
  void SetWork(double aWorkMs);
  /** Ends the runs that are done or whose lease has expired. */
  void Advance();

private:
  void Handle(const transport::HttpRequest& aRequest,
              transport::HttpResponder aRespond);
  void AnswerList(const coordination::RenewCall& aCall,
                  transport::HttpResponder aRespond,
                  std::chrono::steady_clock::time_point aUntil);
  testing::Milliseconds Now() const;

  transport::TrafficPool& traffic_;
  FakeServerOptions options_;
  transport::HttpServer http_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point clockStart_;
  testing::FakeServer server_;
  unsigned startCount_ = 0;
  std::map<std::string, std::string> specs_;
  std::uint64_t sequence_ = 0;
  std::string address_;
};

}
