#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "coordination/configuration/configuration_record.h"
#include "transport/http_server.h"
#include "transport/traffic_pool.h"

namespace greengage::tools {

/** How the stand-in behaves; `POST /admin` changes it at run time. */
struct FakeLogBehaviour
{
  /** Connections are closed without an answer, nothing is appended. */
  bool outage = false;
  /** Delay of every answer, in ms. */
  std::uint64_t slowMs = 0;
  /** Next appends that take effect but are not answered. */
  std::uint64_t loseAnswers = 0;
  /** Next appends that are refused with 503, without effect. */
  std::uint64_t refuse = 0;
  /** Records kept; 0: all. */
  std::uint64_t retentionRecords = 0;
  /** Age at which records are dropped, in ms; 0: never. */
  std::uint64_t retentionMs = 0;

  auto operator<=>(const FakeLogBehaviour&) const = default;
};

/** Stand-in for the platform's log (docs/protocols/log.md), in memory only. */
class FakeLog
{
public:
  FakeLog(transport::TrafficPool& aTraffic,
          std::string aAddress,
          const FakeLogBehaviour& aBehaviour);

  tl::expected<boost::asio::ip::tcp::endpoint, transport::TransportError>
  Start();

private:
  void Handle(transport::HttpRequest aRequest,
              const transport::HttpResponder& aRespond);
  transport::HttpResponse HandleAdmin(const std::string& aBody);
  /** Empty if the answer is to be lost. */
  std::optional<transport::HttpResponse> HandleAppend(const std::string& aBody);
  transport::HttpResponse HandleRecords(std::string_view aQuery);
  transport::HttpResponse HandleStatus();
  void Respond(const transport::HttpResponder& aRespond,
               transport::HttpResponse aResponse);
  void DropExpired();
  std::uint64_t NextOffset() const { return firstOffset_ + records_.size(); }

  transport::TrafficPool& traffic_;
  std::string address_;
  std::mutex mutex_;
  FakeLogBehaviour behaviour_;
  std::uint64_t firstOffset_ = 0;
  std::deque<coordination::LogRecord> records_;
  std::uint64_t conflicts_ = 0;
  /** Last, so that no request arrives before the other members exist. */
  transport::HttpServer http_;
};

}
