#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "daemon/signal_wait.h"
#include "tools/fake_log.h"
#include "transport/endpoint.h"

int
main(int aCount, char** aArguments)
{
  using namespace greengage;
  daemon::SignalWait signals;
  std::string address = "127.0.0.1:7000";
  tools::FakeLogBehaviour behaviour;
  CLI::App app{ "Fake of the platform's log for tests and demos. It keeps "
                "its records in memory only.",
                "fake-log" };
  app.add_option("--address", address, "Address to listen on")
    ->capture_default_str();
  app.add_option("--slow-ms", behaviour.answerDelayMs, "Delay of every answer")
    ->capture_default_str();
  app
    .add_option("--retention-records",
                behaviour.retentionRecords,
                "Maximum number of retained records; 0: unlimited")
    ->capture_default_str();
  app
    .add_option("--retention-ms",
                behaviour.retentionMs,
                "Age after which records are dropped; 0: never")
    ->capture_default_str();
  app.add_flag(
    "--outage", behaviour.isOutage, "Start with an outage: no answers");
  CLI11_PARSE(app, aCount, aArguments);
  auto parsed = transport::ParseEndpoint(address);
  if (!parsed) {
    fmt::print(stderr, "--address: {}\n", parsed.error().message);
    return 2;
  }

  transport::TrafficPool traffic(2);
  tools::FakeLog log(traffic, address, behaviour);
  auto endpoint = log.Start();
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
