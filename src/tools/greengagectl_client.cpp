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
                  Repeat aRepeat)
{
  TransportError worst{ TransportErrorKind::eNotConnected, "" };
  receivedBefore_ = false;
  for (const std::string& entry : entries_) {
    auto result = send_(entry, aRequest, aTimeout);
    if (result) {
      // An entry that shuts down has done nothing with the request.
      bool leaving =
        result->status == 503 &&
        result->body.find("\"shutting_down\"") != std::string::npos;
      if (!leaving || &entry == &entries_.back()) {
        return result;
      }
      report_(fmt::format("entry {} is shutting down\n", entry));
      continue;
    }
    report_(fmt::format("entry {}: {}\n", entry, result.error().message));
    bool received = result.error().kind != TransportErrorKind::eNotConnected;
    if (received || worst.message.empty()) {
      worst = result.error();
    }
    receivedBefore_ = receivedBefore_ || received;
    if (received && aRepeat == Repeat::eNever) {
      break;
    }
  }
  return tl::unexpected(worst);
}

}
