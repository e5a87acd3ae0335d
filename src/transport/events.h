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

/** Number, name and level of a log event; numbers are never reused. */
struct EventKind
{
  int number = 0;
  std::string_view name;
  LogLevel level = LogLevel::eInfo;

  bool operator==(const EventKind&) const = default;
};

/**
 * All log events; docs/events.md describes each one. Each group has a range of
 * one hundred numbers.
 */
namespace events {

// Process.
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
inline constexpr EventKind kProcessPaused{ 1006,
                                           "process_paused",
                                           LogLevel::eWarning };
inline constexpr EventKind kProcessBehind{ 1007,
                                           "process_behind",
                                           LogLevel::eWarning };
inline constexpr EventKind kProcessCaughtUp{ 1008,
                                             "process_caught_up",
                                             LogLevel::eInfo };
inline constexpr EventKind kBackendUnreachable{ 1005,
                                                "backend_unreachable",
                                                LogLevel::eWarning };

// Connections between processes.
inline constexpr EventKind kPeerConnected{ 1101,
                                           "peer_connected",
                                           LogLevel::eInfo };
inline constexpr EventKind kPeerLost{ 1102, "peer_lost", LogLevel::eWarning };
inline constexpr EventKind kPeerIdentityChanged{ 1103,
                                                 "peer_identity_changed",
                                                 LogLevel::eWarning };
inline constexpr EventKind kPeerMalformed{ 1104,
                                           "peer_malformed",
                                           LogLevel::eError };
inline constexpr EventKind kPeerWithoutHello{ 1105,
                                              "peer_without_hello",
                                              LogLevel::eWarning };
inline constexpr EventKind kClockDifference{ 1106,
                                             "clock_difference",
                                             LogLevel::eWarning };

// HTTP server.
inline constexpr EventKind kConnectionRefused{ 1201,
                                               "connection_refused",
                                               LogLevel::eWarning };
inline constexpr EventKind kAcceptFailed{ 1202,
                                          "accept_failed",
                                          LogLevel::eError };
inline constexpr EventKind kRequestDropped{ 1203,
                                            "request_dropped",
                                            LogLevel::eInfo };
inline constexpr EventKind kConnectionLimited{ 1210,
                                               "connection_limited",
                                               LogLevel::eWarning };
inline constexpr EventKind kConnectionLimits{ 1211,
                                              "connection_limits",
                                              LogLevel::eInfo };

// Ownership.
inline constexpr EventKind kOwnerChanged{ 1301,
                                          "owner_changed",
                                          LogLevel::eInfo };
inline constexpr EventKind kOwnershipGained{ 1302,
                                             "ownership_gained",
                                             LogLevel::eInfo };
inline constexpr EventKind kOwnershipLost{ 1303,
                                           "ownership_lost",
                                           LogLevel::eWarning };
inline constexpr EventKind kShardWithoutOwner{ 1304,
                                               "shard_without_owner",
                                               LogLevel::eError };

// Agents and backend servers.
inline constexpr EventKind kAgentLost{ 1401, "agent_lost", LogLevel::eWarning };
inline constexpr EventKind kAgentReturned{ 1402,
                                           "agent_returned",
                                           LogLevel::eInfo };
inline constexpr EventKind kAgentDraining{ 1403,
                                           "agent_draining",
                                           LogLevel::eInfo };
inline constexpr EventKind kServerEjected{ 1404,
                                           "server_ejected",
                                           LogLevel::eWarning };
inline constexpr EventKind kServerReadmitted{ 1405,
                                              "server_readmitted",
                                              LogLevel::eInfo };

// Configuration and the platform's log.
inline constexpr EventKind kConfigurationApplied{ 1501,
                                                  "configuration_applied",
                                                  LogLevel::eInfo };
inline constexpr EventKind kConfigurationRefused{ 1502,
                                                  "configuration_refused",
                                                  LogLevel::eWarning };
inline constexpr EventKind kLogOutageBegan{ 1503,
                                            "log_outage_began",
                                            LogLevel::eError };
inline constexpr EventKind kLogOutageEnded{ 1504,
                                            "log_outage_ended",
                                            LogLevel::eInfo };
inline constexpr EventKind kDocumentFetched{ 1505,
                                             "document_fetched",
                                             LogLevel::eInfo };

// Dispatch of jobs that are stored in memory only, and their backend servers.
inline constexpr EventKind kJobEnded{ 1601, "job_ended", LogLevel::eInfo };
inline constexpr EventKind kRunEnded{ 1602, "run_ended", LogLevel::eInfo };
inline constexpr EventKind kRunDecision{ 1603,
                                         "run_decision",
                                         LogLevel::eInfo };
inline constexpr EventKind kServerCondition{ 1604,
                                             "server_condition",
                                             LogLevel::eInfo };
inline constexpr EventKind kReadyChanged{ 1605,
                                          "ready_changed",
                                          LogLevel::eInfo };
inline constexpr EventKind kRequestRefused{ 1606,
                                            "request_refused",
                                            LogLevel::eInfo };
inline constexpr EventKind kAnnouncementRefused{ 1607,
                                                 "announcement_refused",
                                                 LogLevel::eWarning };
inline constexpr EventKind kPeerSilent{ 1608,
                                        "peer_silent",
                                        LogLevel::eWarning };

inline constexpr EventKind kTasksPlaced{ 1609,
                                         "tasks_placed",
                                         LogLevel::eInfo };
inline constexpr EventKind kJobSubmitted{ 1610,
                                          "job_submitted",
                                          LogLevel::eInfo };
inline constexpr EventKind kServerCrashed{ 1611,
                                           "server_crashed",
                                           LogLevel::eWarning };
inline constexpr EventKind kEntriesChosen{ 1612,
                                           "entries_chosen",
                                           LogLevel::eInfo };
inline constexpr EventKind kJobCancelled{ 1613,
                                          "job_cancelled",
                                          LogLevel::eInfo };
inline constexpr EventKind kTaskCrashCounted{ 1620,
                                              "task_crash_counted",
                                              LogLevel::eInfo };
inline constexpr EventKind kJobGivenUp{ 1621,
                                        "job_given_up",
                                        LogLevel::eWarning };
inline constexpr EventKind kQueueLimitBegan{ 1622,
                                             "queue_limit_began",
                                             LogLevel::eWarning };
inline constexpr EventKind kQueueLimitEnded{ 1623,
                                             "queue_limit_ended",
                                             LogLevel::eInfo };
inline constexpr EventKind kEvacuationChanged{ 1630,
                                               "evacuation_changed",
                                               LogLevel::eWarning };
inline constexpr EventKind kTasksHeld{ 1640, "tasks_held", LogLevel::eInfo };
inline constexpr EventKind kCancellationAnswered{ 1645,
                                                  "cancellation_answered",
                                                  LogLevel::eInfo };
inline constexpr EventKind kCancellationUnconfirmed{ 1646,
                                                     "cancellation_unconfirmed",
                                                     LogLevel::eWarning };
inline constexpr EventKind kCancellationsCaughtUp{ 1647,
                                                   "cancellations_caught_up",
                                                   LogLevel::eInfo };
inline constexpr EventKind kAdmissionAccepted{ 1650,
                                               "admission_accepted",
                                               LogLevel::eInfo };
inline constexpr EventKind kAdmissionRejected{ 1651,
                                               "admission_rejected",
                                               LogLevel::eInfo };
inline constexpr EventKind kAdmissionWithdrawn{ 1652,
                                                "admission_withdrawn",
                                                LogLevel::eInfo };

// Settings and logging.
inline constexpr EventKind kSettingsReloaded{ 1701,
                                              "settings_reloaded",
                                              LogLevel::eInfo };
inline constexpr EventKind kSettingsRefused{ 1702,
                                             "settings_refused",
                                             LogLevel::eError };
inline constexpr EventKind kSettingsWaitForStart{ 1704,
                                                  "settings_wait_for_start",
                                                  LogLevel::eWarning };
inline constexpr EventKind kLinesDropped{ 1703,
                                          "lines_dropped",
                                          LogLevel::eWarning };

inline constexpr std::array kAll{
  kProcessStarted,
  kProcessStopping,
  kProcessStopped,
  kStartFailed,
  kBackendUnreachable,
  kPeerConnected,
  kPeerLost,
  kPeerIdentityChanged,
  kPeerMalformed,
  kPeerWithoutHello,
  kClockDifference,
  kConnectionRefused,
  kAcceptFailed,
  kOwnerChanged,
  kOwnershipGained,
  kOwnershipLost,
  kShardWithoutOwner,
  kAgentLost,
  kAgentReturned,
  kAgentDraining,
  kServerEjected,
  kServerReadmitted,
  kConfigurationApplied,
  kConfigurationRefused,
  kLogOutageBegan,
  kLogOutageEnded,
  kDocumentFetched,
  kJobEnded,
  kRunEnded,
  kRunDecision,
  kServerCondition,
  kReadyChanged,
  kRequestRefused,
  kAnnouncementRefused,
  kPeerSilent,
  kTasksPlaced,
  kSettingsReloaded,
  kSettingsRefused,
  kLinesDropped,
  kSettingsWaitForStart,
  kProcessPaused,
  kProcessBehind,
  kProcessCaughtUp,
  kRequestDropped,
  kConnectionLimited,
  kConnectionLimits,
  kJobSubmitted,
  kServerCrashed,
  kEntriesChosen,
  kJobCancelled,
  kTaskCrashCounted,
  kJobGivenUp,
  kQueueLimitBegan,
  kQueueLimitEnded,
  kEvacuationChanged,
  kTasksHeld,
  kCancellationAnswered,
  kCancellationUnconfirmed,
  kCancellationsCaughtUp,
  kAdmissionAccepted,
  kAdmissionRejected,
  kAdmissionWithdrawn,
};

}

}
