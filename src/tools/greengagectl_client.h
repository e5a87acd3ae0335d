#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace greengage::tools {

/** Whether a request may be sent again if it may have been received. */
enum class Repeat
{
  /** Reads, and requests whose ID or state makes a second one harmless. */
  eAllowed,
  /** Publications: a second one would find its own change in the way. */
  eNever,
};

/** Sends one request to one entry and waits for the answer. */
using SendToEntry = std::function<transport::HttpClient::Result(
  const std::string& aEntry,
  const transport::HttpRequest& aRequest,
  std::chrono::milliseconds aTimeout)>;

/** Tries entries in turn until one answers. */
class EntryClient
{
public:
  /** aEntries are `ip:port`; there must be at least one. */
  EntryClient(std::vector<std::string> aEntries,
              SendToEntry aSend,
              std::function<void(std::string_view)> aReport);

  /**
   * eNotConnected if no entry can have received the request; any other error
   * means that one may have.
   */
  transport::HttpClient::Result Send(const transport::HttpRequest& aRequest,
                                     std::chrono::milliseconds aTimeout,
                                     Repeat aRepeat);

  /**
   * True if the answer of the last request came from a later entry, after an
   * earlier one may have received it.
   */
  bool ReceivedBefore() const { return receivedBefore_; }

private:
  std::vector<std::string> entries_;
  SendToEntry send_;
  std::function<void(std::string_view)> report_;
  bool receivedBefore_ = false;
};

}
