#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace greengage::tools {

/** Whether a request may be retried after an entry may have received it. */
enum class RetryPolicy
{
  /** Reads, and requests that are idempotent through their ID or state. */
  eAllowed,
  /**
   * Publications: a retry would be refused with a version conflict that the
   * first attempt caused.
   */
  eNever,
};

/** Sends one request to one entry and waits for the answer. */
using SendToEntry = std::function<transport::HttpClient::Result(
  const std::string& aEntry,
  const transport::HttpRequest& aRequest,
  std::chrono::milliseconds aTimeout)>;

/** Sends a request to the entries in turn until one answers. */
class EntryClient
{
public:
  /** @param aEntries addresses `ip:port`, at least one */
  EntryClient(std::vector<std::string> aEntries,
              SendToEntry aSend,
              std::function<void(std::string_view)> aReport);

  /**
   * Returns the first answer. The errors eConnectionRefused and eNotConnected
   * mean that no entry received the request; after any other error one may have
   * received it.
   */
  transport::HttpClient::Result Send(const transport::HttpRequest& aRequest,
                                     std::chrono::milliseconds aTimeout,
                                     RetryPolicy aRetry);

  /**
   * Returns true if an entry that did not answer may have received the last
   * request before the entry that answered it.
   */
  bool EarlierEntryMayHaveReceived() const
  {
    return earlierEntryMayHaveReceived_;
  }

private:
  std::vector<std::string> entries_;
  SendToEntry send_;
  std::function<void(std::string_view)> report_;
  bool earlierEntryMayHaveReceived_ = false;
};

}
