#include "benchmarks/capacity/owner_cost.h"

#include <deque>
#include <memory>

#include "benchmarks/capacity/measure.h"
#include "coordination/execution/job_owner.h"

namespace greengage::benchmarks {

using namespace coordination;

namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kTasksPerJob = 100;
constexpr std::uint32_t kJobs = 2000;
// Large enough that the owner never drops an ended job.
constexpr std::size_t kMaxEndedBytes = 4ULL * 1024 * 1024 * 1024;

/** One owner with simulated agents that finish every task immediately. */
class OwnerBench
{
public:
  explicit OwnerBench(std::uint32_t aAgents)
    : scheduler_(clock_)
    , owner_(0, scheduler_, clock_, MakeHooks(), MakeOptions())
  {
    scheduler_.SetTemplate(
      *state::WorkTemplate::Builder().SetName("work").Build());
    scheduler_.SetOrganisation(
      *state::OrganisationParameters::Builder().SetName("org").Build());
    owner_.Activate({ 1, 0 }, clock_.WallNow(), {}, true);
    clock_.Advance(state::kClockMargin + std::chrono::milliseconds(1));
    for (std::uint32_t i = 0; i < aAgents; ++i) {
      ProcessInfo agent;
      agent.id = { i + 1, 1 };
      agent.role = ProcessRole::eAgent;
      agent.slots = kSlots;
      owner_.AddAgent(agent);
    }
  }

  void RunJobs(std::uint32_t aJobs)
  {
    for (std::uint32_t i = 0; i < aJobs; ++i) {
      Submit();
      owner_.Dispatch();
      while (!results_.empty()) {
        TaskResults results = std::move(results_.front());
        results_.pop_front();
        owner_.OnTaskResults(results);
        owner_.Dispatch();
      }
    }
  }

  std::uint64_t Answers() const { return answers_; }

private:
  static JobOwnerOptions MakeOptions()
  {
    JobOwnerOptions options;
    options.maxEndedBytes = kMaxEndedBytes;
    return options;
  }

  JobOwnerHooks MakeHooks()
  {
    JobOwnerHooks hooks;
    hooks.startTasks = [this](const state::ProcessId& aAgent,
                              const StartTasks& aStart) {
      TaskResults results{ 0, aAgent, {} };
      for (const TaskStart& task : aStart.tasks) {
        state::TaskRecord record;
        record.key = task.key;
        record.task = task.task;
        record.attempt = task.attempt;
        record.taskState = state::TaskState::eSucceeded;
        record.body = "{\"ok\":true}";
        record.runTime = std::chrono::milliseconds(100);
        results.records.push_back(std::move(record));
      }
      results_.push_back(std::move(results));
    };
    hooks.cancelTasks = [](const state::ProcessId&, const CancelTasks&) {};
    hooks.fence = [](const state::ProcessId&, const Fence&) {};
    hooks.queryHistory = [](const state::ProcessId&, const HistoryQuery&) {};
    hooks.answer = [this](const state::ProcessId&, const JobAnswer&) {
      ++answers_;
    };
    return hooks;
  }

  void Submit()
  {
    state::JobSpec::Builder builder;
    builder
      .SetKey(
        { "org", state::JobId::Create(clock_.WallNow(), 0, ++submitted_) })
      .SetTemplateName("work");
    for (std::uint32_t i = 0; i < kTasksPerJob; ++i) {
      builder.AddPayload("{\"swatch\":17}");
    }
    owner_.OnSubmit({ 9, 9 }, { submitted_, *builder.Build() });
  }

  ManualClock clock_;
  TaskScheduler scheduler_;
  JobOwner owner_;
  std::deque<TaskResults> results_;
  std::uint64_t submitted_ = 0;
  std::uint64_t answers_ = 0;
};

}

void
MeasureOwner()
{
  for (std::uint32_t agents : { 100u, 300u, 1000u, 3000u }) {
    std::size_t before = HeapBytes();
    auto bench = std::make_unique<OwnerBench>(agents);
    PrintPoint("owner_memory_by_workers",
               agents,
               static_cast<double>(HeapBytes() - before) / 1024,
               "KiB");
    double start = ThreadNanoseconds();
    bench->RunJobs(kJobs);
    double cost = ThreadNanoseconds() - start;
    if (bench->Answers() != kJobs) {
      PrintPoint("owner_lost_answers", agents, 1, "error");
    }
    PrintPoint("owner_time_per_task",
               agents,
               cost / (kJobs * kTasksPerJob) / 1000,
               "us");
  }
  for (std::uint32_t jobs : { 100u, 300u, 1000u, 3000u }) {
    OwnerBench bench(100);
    std::size_t before = HeapBytes();
    bench.RunJobs(jobs);
    PrintPoint("owner_memory_by_tasks_remembered",
               jobs * kTasksPerJob,
               static_cast<double>(HeapBytes() - before) / 1024,
               "KiB");
  }
}

}
