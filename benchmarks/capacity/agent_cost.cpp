#include "benchmarks/capacity/agent_cost.h"

#include <span>

#include "benchmarks/capacity/measure.h"
#include "coordination/messages.h"
#include "protocol/peer_codec.h"
#include "state/start_registry.h"

namespace greengage::benchmarks {

using namespace coordination;

namespace {

constexpr std::size_t kMaxResultBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kRounds = 2000;

state::TaskRecord
MakeRecord(const state::WallTime& aNow, std::uint64_t aNumber)
{
  state::TaskRecord record;
  record.key = { "org", state::JobId::Create(aNow, 0, aNumber) };
  record.taskState = state::TaskState::eSucceeded;
  record.body = "{\"ok\":true}";
  return record;
}

/** Measures the size of a frame with one message and the time to encode and
 * decode it. */
void
MeasureMessage(const char* aName,
               std::uint32_t aTasks,
               const PeerMessage& aMessage)
{
  std::size_t bytes = 0;
  double start = ThreadNanoseconds();
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    std::string frame = protocol::EncodeFrame({ aMessage });
    bytes = frame.size();
    auto decoded = protocol::DecodeFrame(std::as_bytes(std::span(frame)));
    if (!decoded || decoded->size() != 1) {
      PrintPoint("message_not_decoded", aTasks, 1, "error");
    }
  }
  double microseconds = (ThreadNanoseconds() - start) / kRounds / 1000;
  std::string name(aName);
  PrintPoint(name + "_time_by_tasks", aTasks, microseconds, "us");
  PrintPoint(name + "_bytes_by_tasks", aTasks, static_cast<double>(bytes), "B");
}

}

void
MeasureAgent()
{
  ManualClock clock;
  for (std::uint32_t tasks : { 3000u, 10'000u, 30'000u, 100'000u }) {
    std::size_t before = HeapBytes();
    state::StartRegistryOptions options;
    options.maxResultBytes = kMaxResultBytes;
    state::StartRegistry registry(options);
    double start = ThreadNanoseconds();
    for (std::uint32_t i = 0; i < tasks; ++i) {
      auto record = MakeRecord(clock.WallNow(), i);
      registry.TryStart(0, { 1, 0 }, record, clock.WallNow());
      registry.Finish(record);
    }
    double microseconds = (ThreadNanoseconds() - start) / tasks / 1000;
    PrintPoint("ledger_time_per_task", tasks, microseconds, "us");
    PrintPoint("ledger_memory_by_tasks_remembered",
               tasks,
               static_cast<double>(HeapBytes() - before) / 1024,
               "KiB");
  }
}

void
MeasureMessages()
{
  ManualClock clock;
  for (std::uint32_t tasks : { 1u, 3u, 8u, 30u }) {
    StartTasks start{ { 1, 2 }, 0, { 1, 0 }, {} };
    TaskResults results{ 0, { 1, 2 }, {} };
    for (std::uint32_t i = 0; i < tasks; ++i) {
      auto record = MakeRecord(clock.WallNow(), 1);
      record.task = i;
      start.tasks.push_back({ record.key,
                              i,
                              0,
                              "work",
                              "{\"swatch\":17}",
                              std::chrono::milliseconds(10'000) });
      results.records.push_back(std::move(record));
    }
    MeasureMessage("start_message", tasks, start);
    MeasureMessage("result_message", tasks, results);
  }
}

}
