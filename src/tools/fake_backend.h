#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "transport/http_server.h"
#include "transport/traffic_pool.h"

namespace greengage::tools {

/** Settings of a fake backend server. */
struct FakeBackendSettings
{
  std::string address = "127.0.0.1:9000";
  std::uint32_t slots = 8;
  std::uint32_t memoryMb = 32'768;
  std::uint32_t accelerators = 0;
  /** Run time of a task whose payload has no run_time_ms, in ms. */
  std::uint32_t runTimeMs = 100;
  /** Divides every run time: a factor of 2 halves it. */
  double speedFactor = 1.0;
  /** Share of tasks that fail immediately, 0 to 1. */
  double failureShare = 0.0;
  /** Share of tasks that take stragglerFactor times as long, 0 to 1. */
  double stragglerShare = 0.0;
  double stragglerFactor = 5.0;

  bool operator==(const FakeBackendSettings&) const = default;
};

/**
 * Fake backend server for tests and demos. It counts the starts of every task;
 * `GET /starts` returns the counts, so that tests can detect tasks that were
 * started twice. `GET /summary` returns the totals and the time of the last
 * start. `POST /admin` changes the shares of failures and stragglers at run
 * time.
 */
class FakeBackend
{
public:
  FakeBackend(transport::TrafficPool& aTraffic,
              const FakeBackendSettings& aSettings);

  tl::expected<boost::asio::ip::tcp::endpoint, transport::TransportError>
  Start();

private:
  void Handle(transport::HttpRequest aRequest,
              transport::HttpResponder aRespond);
  void HandleRun(const std::string& aBody, transport::HttpResponder aRespond);
  void HandleAdmin(const std::string& aBody, const transport::HttpResponder&);
  std::string StartsJson();
  std::string SummaryJson();
  /** Counts a start of the task; returns the current settings. */
  FakeBackendSettings RecordStart(const std::string& aTask);

  transport::TrafficPool& traffic_;
  /** Guarded by mutex_ after Start(). */
  FakeBackendSettings settings_;
  transport::HttpServer http_;
  std::mutex mutex_;
  std::map<std::string, std::uint32_t> starts_;
  std::uint64_t startCount_ = 0;
  std::chrono::system_clock::time_point lastStart_;
};

}
