#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "transport/byte_budget.h"
#include "transport/connection_limits.h"

namespace greengage::transport {

/** Reason why a connection was refused or closed. */
enum class ConnectionLimit
{
  /** The connections of the process hold too many bytes; it held the most. */
  eProcessBytes,
  /** It sent too many bytes while its request was handled. */
  eConnectionBytes,
  /** A header, a chunk header or the trailers are too long. */
  eHeaderBytes,
  /** The listener has too many connections; it was quiet for the longest. */
  eConnections,
  /** Too many connections of other processes. */
  ePeerConnections,
  /** A peer did not say in time which process it is. */
  eUnidentifiedPeer,
};

const char*
ToString(ConnectionLimit aLimit);

/**
 * Limits of a process for its connections, shared by all its listeners. May be
 * used from any thread.
 */
class ConnectionGuard
{
public:
  /** Called for each connection that is refused or closed, in any thread. */
  using LimitedHook = std::function<void(ConnectionLimit)>;

  explicit ConnectionGuard(const ConnectionLimits& aLimits);

  const ConnectionLimits& Limits() const { return limits_; }
  ByteBudget& Bytes() { return bytes_; }

  /** Logs the limits in force. */
  void LogLimits() const;

  /** Call before the traffic threads start. */
  void SetLimitedHook(LimitedHook aHook) { limitedHook_ = std::move(aHook); }

  /**
   * Counts a connection that is refused or closed, and logs it, at most once
   * per second and reason.
   */
  void ReportLimited(ConnectionLimit aLimit,
                     const std::string& aAddress,
                     std::size_t aBytes);

private:
  struct Report
  {
    std::chrono::steady_clock::time_point loggedAt{};
    std::uint64_t unreported = 0;
  };

  static constexpr std::size_t kReasons = 6;

  const ConnectionLimits limits_;
  ByteBudget bytes_;
  LimitedHook limitedHook_;
  std::mutex reportsMutex_;
  std::array<Report, kReasons> reports_;
};

}
