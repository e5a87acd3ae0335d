#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "daemon/daemon_error.h"
#include "transport/events.h"

namespace greengage::daemon {

/** Settings that entries and agents share. */
struct CommonSettings
{
  /** `ip:port` to which the other processes connect; port 0: any free port. */
  std::string peerAddress = "127.0.0.1:0";
  /** Peer addresses of some entries. */
  std::vector<std::string> seeds;
  std::string dataCentre = "default";
  std::string rack = "default";
  unsigned trafficThreads = 2;
  transport::LogLevel logLevel = transport::LogLevel::eInfo;

  bool operator==(const CommonSettings&) const = default;
};

struct EntrySettings
{
  CommonSettings common;
  std::string httpAddress = "127.0.0.1:8080";
  /** `ip:port` of the platform's log. */
  std::string logAddress;
  std::chrono::milliseconds logPollPeriod{ 500 };
  /** Age at which the platform's log drops a record. */
  std::chrono::seconds logRetention = std::chrono::hours(24 * 7);
  /** Number of records that the platform's log keeps; 0: not limited. */
  std::uint64_t logRetentionRecords = 0;
  std::uint32_t shardCount = 1;

  bool operator==(const EntrySettings&) const = default;
};

struct AgentSettings
{
  CommonSettings common;
  /** `ip:port` of the backend server beside this agent. */
  std::string backendAddress = "127.0.0.1:9000";
  /** Upper bound of the slots used; 0: as many as the server reports. */
  std::uint32_t maxSlots = 0;
  /** `ip:port` for /metrics and /v1/status; empty: not served. */
  std::string metricsAddress;

  bool operator==(const AgentSettings&) const = default;
};

/** Result of reading the command line: settings, or an exit code. */
template<class Settings>
struct ParsedSettings
{
  Settings settings;
  /** Set if the process must exit now, for example after --help. */
  std::optional<int> exitCode;
};

/** Reads flags and GREENGAGE_... variables and checks every value. */
ParsedSettings<EntrySettings>
ParseEntrySettings(int aCount, const char* const* aArguments);

ParsedSettings<AgentSettings>
ParseAgentSettings(int aCount, const char* const* aArguments);

}
