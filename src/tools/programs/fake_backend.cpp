#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "daemon/signal_wait.h"
#include "tools/fake_backend.h"
#include "transport/endpoint.h"

int
main(int aCount, char** aArguments)
{
  using namespace greengage;
  daemon::SignalWait signals;
  tools::FakeBackendSettings settings;
  CLI::App app{ "Fake backend server for tests and demos.", "fake-backend" };
  app.add_option("--address", settings.address, "Address to listen on")
    ->capture_default_str();
  app
    .add_option(
      "--slots", settings.slots, "Number of tasks that run at the same time")
    ->check(CLI::Range(1u, 4096u))
    ->capture_default_str();
  app.add_option("--memory-mb", settings.memoryMb, "Announced memory, in MB")
    ->capture_default_str();
  app
    .add_option(
      "--accelerators", settings.accelerators, "Announced accelerators")
    ->capture_default_str();
  app
    .add_option("--run-time-ms",
                settings.runTimeMs,
                "Run time of a task whose payload has no run_time_ms")
    ->check(CLI::Range(0u, 120'000u))
    ->capture_default_str();
  app
    .add_option("--speed-factor",
                settings.speedFactor,
                "Divides every run time; 2 halves it")
    ->check(CLI::Range(0.01, 100.0))
    ->capture_default_str();
  app
    .add_option("--failure-share",
                settings.failureShare,
                "Share of tasks that fail immediately")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
  app
    .add_option("--straggler-share",
                settings.stragglerShare,
                "Share of tasks that take longer")
    ->check(CLI::Range(0.0, 1.0))
    ->capture_default_str();
  app
    .add_option("--straggler-factor",
                settings.stragglerFactor,
                "Factor by which their run time is longer")
    ->check(CLI::Range(0.0, 100.0))
    ->capture_default_str();
  CLI11_PARSE(app, aCount, aArguments);

  transport::TrafficPool traffic(2);
  tools::FakeBackend backend(traffic, settings);
  auto endpoint = backend.Start();
  if (!endpoint) {
    fmt::print(stderr, "{}\n", endpoint.error().message);
    return 1;
  }
  fmt::print("listening on {}\n", transport::ToString(*endpoint));
  std::fflush(stdout);
  traffic.Start();
  signals.Wait([](std::function<void()> aStopped) { aStopped(); });
  traffic.Stop();
  return 0;
}
