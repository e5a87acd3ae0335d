#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "fleet.h"

using namespace review;
namespace json = boost::json;

namespace {

/** `cancel_ms` of the settings. */
constexpr double kCancelMs = 3000;

const json::object kStep{ { "count", 2 },
                          { "cpu", 1600 },
                          { "memMb", 64 },
                          { "estimateMs", 600 } };

/**
 * All entries are killed at once and start again, after a cancellation was
 * acknowledged. A request of the cancelled job that was on its way arrives
 * seconds later.
 */
void
KillAll(Fleet& aFleet)
{
  for (auto& entry : aFleet.entries) {
    entry.program->Signal(SIGKILL);
  }
  for (auto& entry : aFleet.entries) {
    entry.program->Kill();
  }
  Sleep(Ms(1000));
  for (auto& entry : aFleet.entries) {
    entry.program->Launch();
  }
}

int
Judge(const Fleet& aFleet, const std::string& aJob, double aCancelled)
{
  unsigned broken = 0;
  for (const Start& start : aFleet.Starts()) {
    if (start.job != aJob) {
      continue;
    }
    double after = start.at - aCancelled;
    char text[200];
    std::snprintf(text,
                  sizeof(text),
                  "check: %s run %llu started on %s %.0f ms after the "
                  "acknowledgement of the cancellation",
                  start.task.c_str(),
                  static_cast<unsigned long long>(start.run),
                  start.worker.c_str(),
                  after);
    if (after > 0) {
      Record::Write(text);
    }
    broken += after > kCancelMs ? 1 : 0;
  }
  Record::Write(broken > 0 ? "check: UNASKED is broken: " +
                               std::to_string(broken) +
                               " starts later than cancel_ms"
                           : std::string("check: UNASKED holds"));
  return broken > 0 ? 1 : 0;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Record::Open(aArguments[1]);
  int result = 2;
  {
    Fleet fleet(3);
    fleet.Launch();
    fleet.AwaitReady();
    std::string job = fleet.NewJob();
    std::thread client(
      [&] { fleet.Post(0, job, "cancelled", kStep, Ms(1500)); });
    Sleep(Ms(400));
    Answer answer = fleet.Delete(1, job, Ms(4000));
    double cancelled = Record::Now();
    client.join();
    if (answer.status / 100 != 2 && answer.status != 410) {
      CannotRun("the cancellation is not acknowledged");
    }
    Sleep(Ms(500));
    if (HasTrouble()) {
      KillAll(fleet);
    }
    // The entries are in touch again before the late request arrives.
    while (Record::Now() < cancelled + 6000) {
      Sleep(Ms(20));
    }
    fleet.Post(2, job, "cancelled", kStep, Ms(1500));
    result = Judge(fleet, job, cancelled);
  }
  return result;
}
