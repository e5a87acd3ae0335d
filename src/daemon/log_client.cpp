#include "daemon/log_client.h"

#include <fmt/format.h>

#include "protocol/log_json.h"

namespace greengage::daemon {

using coordination::AppendStatus;
using transport::HttpClient;

namespace {

// Long enough for a slow log, and short enough for a second attempt before the
// answer to a publication is due.
constexpr std::chrono::milliseconds kLogTimeout{ 2000 };

std::optional<coordination::LogPage>
ToPage(const HttpClient::Result& aResult)
{
  if (!aResult || aResult->status != 200) {
    return std::nullopt;
  }
  auto page = protocol::DecodeLogPage(aResult->body);
  if (!page) {
    return std::nullopt;
  }
  return *std::move(page);
}

AppendStatus
ToAppendStatus(const HttpClient::Result& aResult)
{
  if (!aResult) {
    return NothingWasSent(aResult.error().kind) ? AppendStatus::eRefused
                                                : AppendStatus::eUncertain;
  }
  switch (aResult->status) {
    case 200:
      return AppendStatus::eAppended;
    case 409:
      return AppendStatus::eConflict;
    case 503:
      return AppendStatus::eRefused;
    default:
      return AppendStatus::eUncertain;
  }
}

}

LogClient::LogClient(transport::TrafficPool& aTraffic,
                     transport::ControlThread& aControl,
                     const boost::asio::ip::tcp::endpoint& aServer)
  : control_(aControl)
  , client_(aTraffic, aServer)
{
}

void
LogClient::Read(std::uint64_t aFrom, std::uint32_t aLimit, ReadDone aDone)
{
  transport::HttpRequest request;
  request.method = "GET";
  request.target = fmt::format("/records?from={}&limit={}", aFrom, aLimit);
  client_.Send(
    std::move(request),
    kLogTimeout,
    [this, done = std::move(aDone)](const HttpClient::Result& aResult) {
      control_.Post([done, page = ToPage(aResult)] { done(page); });
    });
}

void
LogClient::Append(std::uint64_t aExpectedOffset,
                  std::string aData,
                  AppendDone aDone)
{
  transport::HttpRequest request;
  request.method = "POST";
  request.target = "/append";
  request.body = protocol::EncodeAppend(aExpectedOffset, aData);
  client_.Send(
    std::move(request),
    kLogTimeout,
    [this, done = std::move(aDone)](const HttpClient::Result& aResult) {
      control_.Post([done, status = ToAppendStatus(aResult)] { done(status); });
    });
}

}
