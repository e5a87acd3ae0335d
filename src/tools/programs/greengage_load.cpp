#include <cstdlib>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "tools/load_runner.h"
#include "transport/endpoint.h"

namespace {

using namespace greengage;
using namespace greengage::tools;

struct LoadOptions
{
  LoadSettings settings;
  LoadTargets targets;
  std::vector<ServerCapacity> servers;
  std::string label = "load";
  std::string output;
};

const CLI::Validator&
EndpointValidator()
{
  static const CLI::Validator validator(
    [](const std::string& aText) {
      auto endpoint = transport::ParseEndpoint(aText);
      return endpoint ? std::string() : endpoint.error().message;
    },
    "IP:PORT");
  return validator;
}

/** Parses NAME:NUMBER; the number must be positive. */
Share
ParsePair(const std::string& aOption, const std::string& aText)
{
  std::size_t colon = aText.rfind(':');
  char* end = nullptr;
  double number = colon == std::string::npos
                    ? 0
                    : std::strtod(aText.c_str() + colon + 1, &end);
  if (!(number > 0) || *end != '\0') {
    throw CLI::ValidationError(aOption, "\"" + aText + "\" is not NAME:NUMBER");
  }
  return { aText.substr(0, colon), number };
}

/** Adds an option of the form NAME:WEIGHT,NAME:WEIGHT. */
void
AddShares(CLI::App& aApp,
          const std::string& aName,
          std::vector<Share>& aShares,
          const std::string& aHelp)
{
  aApp
    .add_option_function<std::vector<std::string>>(
      aName,
      [&aShares, aName](const std::vector<std::string>& aTexts) {
        aShares.clear();
        for (const std::string& text : aTexts) {
          aShares.push_back(ParsePair(aName, text));
        }
      },
      aHelp)
    ->delimiter(',');
}

void
CheckUrgencies(const std::vector<Share>& aShares)
{
  for (const Share& share : aShares) {
    if (share.name.size() != 1 || share.name[0] < '0' || share.name[0] > '3') {
      throw CLI::ValidationError("--urgencies",
                                 "\"" + share.name + "\" is not 0 to 3");
    }
  }
}

void
AddPlanOptions(CLI::App& aApp, LoadSettings& aSettings)
{
  static const std::map<std::string, ArrivalProcess> arrivals{
    { "poisson", ArrivalProcess::ePoisson }, { "burst", ArrivalProcess::eBurst }
  };
  static const std::map<std::string, RunTimeShape> shapes{
    { "fixed", RunTimeShape::eFixed },
    { "exponential", RunTimeShape::eExponential },
    { "long-tail", RunTimeShape::eLongTail }
  };
  auto addMilliseconds = [&](const char* aName,
                             std::chrono::milliseconds& aValue,
                             std::int64_t aMax,
                             const char* aHelp) {
    aApp
      .add_option_function<std::int64_t>(
        aName,
        [&aValue](std::int64_t aMs) {
          aValue = std::chrono::milliseconds(aMs);
        },
        aHelp)
      ->check(CLI::Range(std::int64_t{ 1 }, aMax));
  };
  aApp.add_option("--arrivals", aSettings.arrivals, "poisson or burst")
    ->transform(CLI::CheckedTransformer(arrivals));
  aApp.add_option("--rate", aSettings.rate, "Jobs per second")
    ->check(CLI::Range(0.1, 20'000.0));
  aApp
    .add_option(
      "--burst-size", aSettings.burstSize, "Number of jobs in one burst")
    ->check(CLI::Range(1u, 10'000u));
  addMilliseconds("--duration-ms",
                  aSettings.duration,
                  600'000,
                  "Time during which jobs are submitted");
  AddShares(aApp,
            "--organisations",
            aSettings.organisations,
            "Organisations and weights, for example a:1,b:3");
  AddShares(aApp,
            "--templates",
            aSettings.templates,
            "Templates and weights, for example quote:1");
  AddShares(aApp,
            "--urgencies",
            aSettings.urgencies,
            "Urgencies 0 to 3 and weights, for example 1:9,3:1");
  aApp.final_callback([&aSettings] { CheckUrgencies(aSettings.urgencies); });
  aApp
    .add_option("--min-tasks", aSettings.minTasks, "Tasks in the smallest job")
    ->check(CLI::Range(1u, 1100u));
  aApp
    .add_option("--max-tasks", aSettings.maxTasks, "Tasks in the largest job")
    ->check(CLI::Range(1u, 1100u));
  aApp
    .add_option("--run-time-shape",
                aSettings.runTimeShape,
                "fixed, exponential or long-tail")
    ->transform(CLI::CheckedTransformer(shapes));
  addMilliseconds("--run-time-ms",
                  aSettings.meanRunTime,
                  30'000,
                  "Mean run time of a task on a server of speed 1");
  addMilliseconds(
    "--deadline-ms", aSettings.deadline, 300'000, "Deadline of each job");
  aApp
    .add_option("--resubmit-share",
                aSettings.resubmitShare,
                "Share of jobs that are resubmitted through the next entry")
    ->check(CLI::Range(0.0, 1.0));
  aApp.add_option("--flood-organisation",
                  aSettings.floodOrganisation,
                  "Organisation that floods in the middle third of the run");
  aApp
    .add_option(
      "--flood-rate", aSettings.floodRate, "Jobs per second of the flood")
    ->check(CLI::Range(0.0, 20'000.0));
  aApp
    .add_option(
      "--flood-urgency", aSettings.floodUrgency, "Urgency of the flood")
    ->check(CLI::Range(0u, 3u));
  aApp.add_option("--seed", aSettings.seed, "Seed of the plan");
}

void
AddTargetOptions(CLI::App& aApp, LoadOptions& aOptions)
{
  aApp
    .add_option("--entries", aOptions.targets.entries, "Addresses of entries")
    ->delimiter(',')
    ->check(EndpointValidator())
    ->required();
  aApp
    .add_option("--metrics",
                aOptions.targets.metrics,
                "Addresses whose /metrics are read before and after the run")
    ->delimiter(',')
    ->check(EndpointValidator());
  aApp
    .add_option_function<std::vector<std::string>>(
      "--servers",
      [&aOptions](const std::vector<std::string>& aTexts) {
        for (const std::string& text : aTexts) {
          Share pair = ParsePair("--servers", text);
          int slots = std::atoi(pair.name.c_str());
          if (slots < 1 || slots > 4096) {
            throw CLI::ValidationError("--servers", "slots must be 1 to 4096");
          }
          aOptions.servers.push_back(
            { static_cast<std::uint32_t>(slots), pair.weight });
        }
      },
      "Pairs SLOTS:SPEED of the backend servers, for the ideal "
      "response times")
    ->delimiter(',');
  aApp.add_option("--label", aOptions.label, "Name of the result");
  aApp.add_option(
    "--output", aOptions.output, "File of the JSON result; default: stdout");
}

}

int
main(int aCount, char** aArguments)
{
  LoadOptions options;
  CLI::App app{ "Submits a generated load to entries and measures the answers.",
                "greengage-load" };
  AddTargetOptions(app, options);
  AddPlanOptions(app, options.settings);
  CLI11_PARSE(app, aCount, aArguments);
  if (options.settings.minTasks > options.settings.maxTasks) {
    fmt::print(stderr, "--min-tasks is greater than --max-tasks\n");
    return 2;
  }
  if (options.settings.floodRate > 0 &&
      options.settings.floodOrganisation.empty()) {
    fmt::print(stderr, "--flood-rate requires --flood-organisation\n");
    return 2;
  }

  LoadRunner runner(options.settings, options.targets);
  LoadResult result = runner.Run();
  result.label = options.label;
  result.servers = options.servers;
  std::string text = EncodeLoadResult(result);
  if (options.output.empty()) {
    std::cout << text;
  } else if (!(std::ofstream(options.output) << text)) {
    fmt::print(stderr, "cannot write {}\n", options.output);
    return 2;
  }
  auto violations = FindViolations(result);
  for (const std::string& violation : violations) {
    fmt::print(stderr, "violation: {}\n", violation);
  }
  return violations.empty() ? 0 : 1;
}
