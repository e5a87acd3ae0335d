#pragma once

#include <array>
#include <string_view>

namespace greengage::transport {

enum class LogLevel
{
  eDebug,
  eInfo,
  eWarning,
  eError,
};

/** A numbered kind of log line; numbers are never reused. */
struct EventKind
{
  int number = 0;
  std::string_view name;
  LogLevel level = LogLevel::eInfo;

  bool operator==(const EventKind&) const = default;
};

/** All events; docs/events.md describes each one. */
namespace events {

inline constexpr EventKind kProcessStarted{ 1001,
                                            "process_started",
                                            LogLevel::eInfo };
inline constexpr EventKind kProcessStopping{ 1002,
                                             "process_stopping",
                                             LogLevel::eInfo };
inline constexpr EventKind kProcessStopped{ 1003,
                                            "process_stopped",
                                            LogLevel::eInfo };
inline constexpr EventKind kStartFailed{ 1004,
                                         "start_failed",
                                         LogLevel::eError };
inline constexpr EventKind kPeerConnected{ 1101,
                                           "peer_connected",
                                           LogLevel::eInfo };
inline constexpr EventKind kPeerLost{ 1102, "peer_lost", LogLevel::eWarning };
inline constexpr EventKind kPeerIdentityChanged{ 1103,
                                                 "peer_identity_changed",
                                                 LogLevel::eWarning };

inline constexpr EventKind kConfigurationChanged{ 1201,
                                                  "configuration_changed",
                                                  LogLevel::eInfo };
inline constexpr EventKind kBadLogRecord{ 1202,
                                          "bad_log_record",
                                          LogLevel::eWarning };
inline constexpr EventKind kLogAvailable{ 1203,
                                          "log_available",
                                          LogLevel::eInfo };
inline constexpr EventKind kLogUnavailable{ 1204,
                                            "log_unavailable",
                                            LogLevel::eWarning };

inline constexpr std::array kAll{
  kProcessStarted,      kProcessStopping,      kProcessStopped,
  kStartFailed,         kPeerConnected,        kPeerLost,
  kPeerIdentityChanged, kConfigurationChanged, kBadLogRecord,
  kLogAvailable,        kLogUnavailable,
};

}

}
