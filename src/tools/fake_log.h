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

/** Faults and limits of the fake log; `POST /admin` changes them. */
struct FakeLogBehaviour
{
  /** Closes connections without an answer and appends nothing. */
  bool isOutage = false;
  /** Delay of every answer, in ms. */
  std::uint64_t answerDelayMs = 0;
  /** Number of next appends that take effect but get no answer. */
  std::uint64_t answersToLose = 0;
  /** Number of next appends that are refused with 503, without effect. */
  std::uint64_t appendsToRefuse = 0;
  /** Maximum number of retained records; 0: unlimited. */
  std::uint64_t retentionRecords = 0;
  /** Age after which records are dropped, in ms; 0: never. */
  std::uint64_t retentionMs = 0;

  auto operator<=>(const FakeLogBehaviour&) const = default;
};

/** In-memory fake of the platform's log (docs/protocols/log.md). */
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
  /** Returns std::nullopt if the request gets no answer. */
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
  /** Declared last: requests may arrive as soon as it exists. */
  transport::HttpServer http_;
};

}
