#include "tools/greengagectl_client.h"

#include <fmt/format.h>

namespace greengage::tools {

using transport::HttpClient;
using transport::TransportError;
using transport::TransportErrorKind;

EntryClient::EntryClient(std::vector<std::string> aEntries,
                         SendToEntry aSend,
                         std::function<void(std::string_view)> aReport)
  : entries_(std::move(aEntries))
  , send_(std::move(aSend))
  , report_(std::move(aReport))
{
}

HttpClient::Result
EntryClient::Send(const transport::HttpRequest& aRequest,
                  std::chrono::milliseconds aTimeout,
                  RetryPolicy aRetry)
{
  TransportError reportedError{ TransportErrorKind::eNotConnected, "" };
  earlierEntryMayHaveReceived_ = false;
  for (const std::string& entry : entries_) {
    auto result = send_(entry, aRequest, aTimeout);
    if (result) {
      // An entry that shuts down has not processed the request.
      bool isShuttingDown =
        result->status == 503 &&
        result->body.find("\"shutting_down\"") != std::string::npos;
      if (!isShuttingDown || &entry == &entries_.back()) {
        return result;
      }
      report_(fmt::format("entry {} is shutting down\n", entry));
      continue;
    }
    report_(fmt::format("entry {}: {}\n", entry, result.error().message));
    bool mayHaveReceived = !transport::NothingWasSent(result.error().kind);
    if (mayHaveReceived || reportedError.message.empty()) {
      reportedError = result.error();
    }
    earlierEntryMayHaveReceived_ =
      earlierEntryMayHaveReceived_ || mayHaveReceived;
    if (mayHaveReceived && aRetry == RetryPolicy::eNever) {
      break;
    }
  }
  return tl::unexpected(reportedError);
}

}
