#pragma once

#include <string>

namespace greengage::transport {

enum class TransportErrorKind
{
  /** The peer's host refused the connection; nothing was sent. */
  eConnectionRefused,
  /**
   * There was no connection for another reason, such as a timeout, an aborted
   * request or no free descriptor; nothing was sent. This does not show whether
   * the peer runs.
   */
  eNotConnected,
  /**
   * The connection failed before a complete response was received. The peer may
   * have received the request.
   */
  eBroken,
  /** No response within the timeout; the peer may have received the request. */
  eTimeout,
  /** The peer sent bytes that are not a valid message. */
  eMalformed,
  /** The caller aborted the request; the peer may have received it. */
  eAborted,
  /** A local address, file or option cannot be used. */
  eInvalidArgument,
};

/** Returns true if the peer cannot have received any part of the request. */
constexpr bool
NothingWasSent(TransportErrorKind aKind)
{
  return aKind == TransportErrorKind::eConnectionRefused ||
         aKind == TransportErrorKind::eNotConnected;
}

/** Reason why a transfer failed. */
struct TransportError
{
  TransportErrorKind kind = TransportErrorKind::eBroken;
  std::string message;

  bool operator==(const TransportError&) const = default;
};

}
