#pragma once

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

/** A port of the loopback address that was free a moment ago. */
unsigned
FreePort();

/** The platform's store as far as the programs read it. */
class FakeStore
{
public:
  explicit FakeStore(transport::TrafficPool& aTraffic);

  std::string Start();
  /** Makes the document the newest and wakes the long reads. */
  void Publish(const std::string& aDocument);
  /** Answers 503 meanwhile. */
  void SetAvailable(bool aAvailable) { available_ = aAvailable; }

private:
  struct LongRead;

  void Handle(const transport::HttpRequest& aRequest,
              transport::HttpResponder aRespond);
  void Answer(std::uint64_t aFrom,
              transport::HttpResponder aRespond,
              std::chrono::steady_clock::time_point aUntil);

  transport::TrafficPool& traffic_;
  transport::HttpServer http_;
  std::mutex mutex_;
  std::vector<std::string> documents_;
  std::atomic<bool> available_{ true };
};

/** What a FakeServerProcess does, and whom it tells. */
struct FakeServerOptions
{
  double workMs = 60;
  /** Makes the identity; differs between servers. */
  testing::Milliseconds born = 0;
  /** A run has begun, or has ended; called with the server locked. */
  std::function<void(const state::RunKey&)> began;
  std::function<void(const state::RunKey&, coordination::RunEndKind)> ended;
  /** Called before each start, with the server unlocked. */
  std::function<void()> beforeStart;
};

/** A FakeServer behind the platform's calls, which announces itself. */
class FakeServerProcess
{
public:
  FakeServerProcess(transport::TrafficPool& aTraffic,
                    FakeServerOptions aOptions);

  std::string Start();
  /** Announces itself once; false if the agent does not acknowledge. */
  bool Announce(const std::string& aAgent, bool aDraining);
  unsigned Begun();
  /** Lets runs and leases end that are due. */
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
  std::chrono::steady_clock::time_point start_;
  testing::FakeServer server_;
  unsigned begun_ = 0;
  std::uint64_t sequence_ = 0;
  std::string address_;
};

}
