#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "fleet.h"

using namespace review;
namespace json = boost::json;

namespace {

constexpr Ms kPostInterval{ 50 };
constexpr Ms kDeadline{ 1500 };

const json::object kStep{ { "count", 2 },
                          { "cpu", 1600 },
                          { "memMb", 64 },
                          { "estimateMs", 200 },
                          { "requiredLabel", "a" } };

/** Posts jobs that need the label "a" at all entries in turn. */
void
PostJobs(Fleet& aFleet, std::atomic<bool>& aEnds)
{
  std::vector<std::thread> calls;
  for (unsigned i = 0; !aEnds; ++i) {
    calls.emplace_back([&aFleet, i, job = aFleet.NewJob()] {
      aFleet.Post(i % 3, job, "needs a", kStep, kDeadline);
    });
    Sleep(kPostInterval);
  }
  for (auto& call : calls) {
    call.join();
  }
}

/** The first worker starts again at the same address, as one of kind "b". */
void
ChangeKind(Fleet& aFleet, Ms aDownTime, const std::string& aId)
{
  auto& side = aFleet.sides[0];
  side.worker->Crash();
  Record::Write(side.options.id + ": crashed");
  Sleep(aDownTime);
  side.options.id = aId;
  side.options.labels[0] = "b";
  aFleet.StartWorker(0);
  Record::Write(side.options.id + ": started at the same address, labels " +
                side.options.labels[0] + ", " + side.options.labels[1]);
}

/** The machine of the worker freezes, and the worker changes meanwhile. */
void
FreezeAgent(Fleet& aFleet)
{
  auto wakesAt = Clock::now() + Ms(300);
  aFleet.sides[0].agent->Signal(SIGSTOP);
  Sleep(Ms(50));
  ChangeKind(aFleet, Ms(150), aFleet.sides[0].options.id);
  std::this_thread::sleep_until(wakesAt);
  aFleet.sides[0].agent->Signal(SIGCONT);
}

/** An entry freezes for 4 s, and the worker changes meanwhile. */
void
FreezeEntry(Fleet& aFleet)
{
  auto wakesAt = Clock::now() + Ms(4000);
  aFleet.entries[0].program->Signal(SIGSTOP);
  Sleep(Ms(2500));
  ChangeKind(aFleet, Ms(800), "i-bole-1-new");
  std::this_thread::sleep_until(wakesAt);
  aFleet.entries[0].program->Signal(SIGCONT);
}

int
Judge(const Fleet& aFleet)
{
  unsigned broken = 0;
  unsigned right = 0;
  for (const Start& start : aFleet.Starts()) {
    if (start.spec != "needs a") {
      continue;
    }
    if (start.label == "a") {
      ++right;
      continue;
    }
    ++broken;
    char text[200];
    std::snprintf(text,
                  sizeof(text),
                  "check: at %.1f %s run %llu, which needs label a, started "
                  "on %s, which has label %s",
                  start.at,
                  start.task.c_str(),
                  static_cast<unsigned long long>(start.run),
                  start.worker.c_str(),
                  start.label.c_str());
    Record::Write(text);
  }
  Record::Write("check: " + std::to_string(right) + " starts with the label, " +
                std::to_string(broken) + " without; ROUTE " +
                (broken > 0 ? "is broken" : "holds"));
  if (right == 0) {
    CannotRun("no task has started on a worker with the label");
  }
  return broken > 0 ? 1 : 0;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Record::Open(aArguments[1]);
  int result = 2;
  {
    Fleet fleet(3);
    for (unsigned i : { 1, 2 }) {
      fleet.sides[i].options.labels[0] = "b";
    }
    for (auto& side : fleet.sides) {
      side.options.work = Ms(200);
    }
    fleet.Launch();
    fleet.AwaitReady();
    std::atomic<bool> ends{ false };
    std::thread clients([&] { PostJobs(fleet, ends); });
    Sleep(Ms(4000));
    if (HasTrouble()) {
      if (std::string(aArguments[2]) == "freeze-agent") {
        FreezeAgent(fleet);
      } else {
        FreezeEntry(fleet);
      }
    }
    Sleep(Ms(4000));
    ends = true;
    clients.join();
    result = Judge(fleet);
  }
  return result;
}
