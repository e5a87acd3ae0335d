#include "daemon/settings.h"

#include <CLI/CLI.hpp>

#include "state/names.h"
#include "transport/endpoint.h"

namespace greengage::daemon {

namespace {

constexpr unsigned kMaxTrafficThreads = 64;
constexpr std::uint32_t kMaxShards = 1024;
constexpr std::uint32_t kMaxSlots = 4096;
constexpr std::int64_t kMinLogPollMs = 50;
// With a longer period, a change can take more than its target of 4 s.
constexpr std::int64_t kMaxLogPollMs = 1000;
constexpr std::int64_t kMinLogRetentionS = 1;
constexpr std::int64_t kMaxLogRetentionS = 366LL * 24 * 3600;

std::string
CheckEndpoint(const std::string& aText)
{
  auto endpoint = transport::ParseEndpoint(aText);
  return endpoint ? std::string() : endpoint.error().message;
}

std::string
CheckName(const std::string& aText)
{
  return state::IsValidName(aText) ? std::string()
                                   : "\"" + aText + "\" " + state::kNameRule;
}

const CLI::Validator&
EndpointValidator()
{
  static const CLI::Validator validator(CheckEndpoint, "IP:PORT");
  return validator;
}

const CLI::Validator&
NameValidator()
{
  static const CLI::Validator validator(CheckName, "NAME");
  return validator;
}

void
AddCommonOptions(CLI::App& aApp, CommonSettings& aSettings)
{
  static const std::map<std::string, transport::LogLevel> levels{
    { "debug", transport::LogLevel::eDebug },
    { "info", transport::LogLevel::eInfo },
    { "warning", transport::LogLevel::eWarning },
    { "error", transport::LogLevel::eError },
  };
  aApp
    .add_option("--peer-address",
                aSettings.peerAddress,
                "Address to which the other processes connect")
    ->envname("GREENGAGE_PEER_ADDRESS")
    ->check(EndpointValidator())
    ->capture_default_str();
  aApp
    .add_option("--seeds",
                aSettings.seeds,
                "Peer addresses of some entries, separated by commas")
    ->envname("GREENGAGE_SEEDS")
    ->delimiter(',')
    ->check(EndpointValidator());
  aApp
    .add_option(
      "--data-centre", aSettings.dataCentre, "Data centre of this host")
    ->envname("GREENGAGE_DATA_CENTRE")
    ->check(NameValidator())
    ->capture_default_str();
  aApp.add_option("--rack", aSettings.rack, "Rack of this host")
    ->envname("GREENGAGE_RACK")
    ->check(NameValidator())
    ->capture_default_str();
  aApp
    .add_option("--traffic-threads",
                aSettings.trafficThreads,
                "Threads for sockets and encoding")
    ->envname("GREENGAGE_TRAFFIC_THREADS")
    ->check(CLI::Range(1u, kMaxTrafficThreads))
    ->capture_default_str();
  aApp
    .add_option("--log-level",
                aSettings.logLevel,
                "Lowest level that is logged: debug, info, warning or error")
    ->envname("GREENGAGE_LOG_LEVEL")
    ->transform(CLI::CheckedTransformer(levels, CLI::ignore_case));
}

void
AddLogOptions(CLI::App& aApp, EntrySettings& aSettings)
{
  aApp
    .add_option(
      "--log-address", aSettings.logAddress, "Address of the platform's log")
    ->envname("GREENGAGE_LOG_ADDRESS")
    ->check(EndpointValidator());
  aApp
    .add_option_function<std::int64_t>(
      "--log-poll-ms",
      [&aSettings](std::int64_t aPeriod) {
        aSettings.logPollPeriod = std::chrono::milliseconds(aPeriod);
      },
      "Time between two reads of the log, in ms")
    ->envname("GREENGAGE_LOG_POLL_MS")
    ->check(CLI::Range(kMinLogPollMs, kMaxLogPollMs))
    ->default_str("500");
  aApp
    .add_option_function<std::int64_t>(
      "--log-retention-s",
      [&aSettings](std::int64_t aAge) {
        aSettings.logRetention = std::chrono::seconds(aAge);
      },
      "Age at which the log drops a record, in s")
    ->envname("GREENGAGE_LOG_RETENTION_S")
    ->check(CLI::Range(kMinLogRetentionS, kMaxLogRetentionS))
    ->default_str("604800");
  aApp
    .add_option("--log-retention-records",
                aSettings.logRetentionRecords,
                "Number of records that the log keeps; 0: not limited")
    ->envname("GREENGAGE_LOG_RETENTION_RECORDS")
    ->capture_default_str();
}

/**
 * Parses the command line; returns an exit code for --help, --check and errors.
 */
std::optional<int>
Parse(CLI::App& aApp, int aCount, const char* const* aArguments)
{
  bool checkOnly = false;
  aApp.add_flag(
    "--check", checkOnly, "Check the settings and exit without starting");
  try {
    aApp.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return aApp.exit(error) == 0 ? 0 : 2;
  }
  if (checkOnly) {
    return 0;
  }
  return std::nullopt;
}

}

ParsedSettings<EntrySettings>
ParseEntrySettings(int aCount, const char* const* aArguments)
{
  ParsedSettings<EntrySettings> parsed;
  EntrySettings& settings = parsed.settings;
  CLI::App app{ "Entry of greengageworks: serves callers and operators over "
                "HTTP and dispatches their jobs.",
                "greengage-entry" };
  AddCommonOptions(app, settings.common);
  app
    .add_option("--http-address",
                settings.httpAddress,
                "Address for callers and operators")
    ->envname("GREENGAGE_HTTP_ADDRESS")
    ->check(EndpointValidator())
    ->capture_default_str();
  AddLogOptions(app, settings);
  app
    .add_option("--shards",
                settings.shardCount,
                "Number of shards of job IDs; must be the same at every entry")
    ->envname("GREENGAGE_SHARDS")
    ->check(CLI::Range(1u, kMaxShards))
    ->capture_default_str();
  parsed.exitCode = Parse(app, aCount, aArguments);
  return parsed;
}

ParsedSettings<AgentSettings>
ParseAgentSettings(int aCount, const char* const* aArguments)
{
  ParsedSettings<AgentSettings> parsed;
  AgentSettings& settings = parsed.settings;
  CLI::App app{ "Agent of greengageworks: runs beside one backend server, "
                "announces it and starts its tasks.",
                "greengage-agent" };
  AddCommonOptions(app, settings.common);
  app
    .add_option("--backend-address",
                settings.backendAddress,
                "Address of the backend server")
    ->envname("GREENGAGE_BACKEND_ADDRESS")
    ->check(EndpointValidator())
    ->capture_default_str();
  app
    .add_option("--max-slots",
                settings.maxSlots,
                "Upper bound of the slots used; 0: as announced by the server")
    ->envname("GREENGAGE_MAX_SLOTS")
    ->check(CLI::Range(0u, kMaxSlots))
    ->capture_default_str();
  app
    .add_option("--metrics-address",
                settings.metricsAddress,
                "Address for /metrics and /v1/status; not served if empty")
    ->envname("GREENGAGE_METRICS_ADDRESS")
    ->check(EndpointValidator());
  parsed.exitCode = Parse(app, aCount, aArguments);
  return parsed;
}

}
