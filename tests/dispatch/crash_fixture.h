#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

namespace greengage::testing {

/**
 * Dispatchers of several entries and servers that crash. The test takes the
 * part of the agents: it accepts all orders and reports the ends of runs.
 */
class CrashFixture : public ::testing::Test
{
protected:
  struct StartedRun
  {
    state::RunKey run;
    std::uint32_t crashes = 0;
    std::string queue;
  };

  struct Entry
  {
    std::unique_ptr<coordination::JobDispatcher> dispatcher;
    /** All runs that the entry has ordered, with their agents. */
    std::vector<std::pair<state::ProcessId, StartedRun>> started;
    std::map<coordination::SubmissionId, state::DispatchOutcome> outcomes;
  };

  explicit CrashFixture(std::size_t aEntries = 2)
  {
    entries_.resize(aEntries);
    for (std::size_t i = 0; i < aEntries; ++i) {
      entries_[i].dispatcher = std::make_unique<coordination::JobDispatcher>(
        coordination::JobDispatcherSettings{ "here" }, clock_, MakeHooks(i));
    }
  }

  /** Adds servers with four slots each, with numbers from 1. */
  void AddServers(std::uint64_t aCount)
  {
    for (std::uint64_t number = 1; number <= aCount; ++number) {
      coordination::ProcessInfo agent;
      agent.id = AgentOf(number);
      agent.role = coordination::ProcessRole::eAgent;
      agent.dataCentre = "here";
      agent.peerAddress = "10.0.0." + std::to_string(number) + ":7720";
      for (Entry& entry : entries_) {
        entry.dispatcher->OnAgent(agent);
      }
      Describe(number);
    }
  }

  static state::ProcessId AgentOf(std::uint64_t aNumber)
  {
    return { aNumber, aNumber };
  }

  void Describe(std::uint64_t aNumber)
  {
    coordination::ServerReport report;
    report.description = coordination::ServerDescription{
      "server-" + std::to_string(aNumber), "pool", {}, { 4000, 4096, 0 }
    };
    report.condition = coordination::ServerCondition::eReady;
    for (Entry& entry : entries_) {
      entry.dispatcher->OnReport(AgentOf(aNumber), report);
    }
  }

  /** Submits a job to an entry; the submission has the number of the job. */
  void Submit(std::size_t aEntry,
              std::uint64_t aJob,
              std::uint32_t aTasks = 1,
              const std::string& aQueue = "queue")
  {
    queueOfJob_[aJob] = aQueue;
    state::WorkQueue queue;
    queue.name = aQueue;
    queue.service = "pool";
    queue.maxAttempts = 3;
    queue.objectiveStretch = 10;
    queue.objectiveMargin = std::chrono::seconds(50);
    state::DispatchJob job;
    job.id = aJob;
    job.steps.push_back(
      { aTasks, { 1000, 64, 0 }, std::chrono::milliseconds(300) });
    entries_[aEntry].dispatcher->Submit(
      aJob, queue, job, std::chrono::seconds(60));
  }

  /** Returns the servers on which the task has a run, by number. */
  std::vector<std::uint64_t> ServersOf(const state::TaskKey& aTask) const
  {
    std::vector<std::uint64_t> servers;
    for (const auto& [agent, runs] : running_) {
      for (const auto& [run, entry] : runs) {
        if (run.task == aTask) {
          servers.push_back(agent.high);
        }
      }
    }
    return servers;
  }

  /** Ends all runs on the server and reports the crash to all entries. */
  void Crash(std::uint64_t aServer)
  {
    auto lost = std::exchange(running_[AgentOf(aServer)], {});
    std::vector<state::TaskKey> tasks;
    for (const auto& [run, entry] : lost) {
      tasks.push_back(run.task);
    }
    ReportCrash(aServer, tasks, lost);
  }

  /** Reports a crash with these tasks and ends of runs to all entries. */
  void ReportCrash(std::uint64_t aServer,
                   const std::vector<state::TaskKey>& aTasks,
                   const std::map<state::RunKey, std::size_t>& aLost = {})
  {
    coordination::ServerCrash crash;
    crash.number = ++crashes_;
    for (const state::TaskKey& task : aTasks) {
      crash.suspects.push_back({ task, QueueOf(task) });
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      coordination::ServerReport report;
      report.condition = coordination::ServerCondition::eReady;
      report.crashes.push_back(crash);
      for (const auto& [run, entry] : aLost) {
        if (entry == i) {
          report.ends.push_back({ run, coordination::RunEndKind::eLost, 10 });
        }
      }
      entries_[i].dispatcher->OnReport(AgentOf(aServer), report);
    }
  }

  /** Ends the only run of the task and reports it to its entry. */
  void Finish(const state::TaskKey& aTask,
              coordination::RunEndKind aKind = coordination::RunEndKind::eDone)
  {
    for (auto& [agent, runs] : running_) {
      for (const auto& [run, entry] : runs) {
        if (run.task != aTask) {
          continue;
        }
        coordination::ServerReport report;
        report.condition = coordination::ServerCondition::eReady;
        report.ends.push_back({ run, aKind, 300 });
        state::ProcessId reporter = agent;
        std::size_t receiver = entry;
        runs.erase(run);
        entries_[receiver].dispatcher->OnReport(reporter, report);
        return;
      }
    }
    FAIL() << "the task has no run";
  }

  std::size_t StartCount(const state::TaskKey& aTask) const
  {
    std::size_t count = 0;
    for (const Entry& entry : entries_) {
      for (const auto& [agent, started] : entry.started) {
        count += started.run.task == aTask ? 1 : 0;
      }
    }
    return count;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kTick{ 25 };
    for (auto left = aTime; left.count() > 0; left -= kTick) {
      time_ += kTick;
      for (Entry& entry : entries_) {
        entry.dispatcher->Tick();
      }
    }
  }

  std::string QueueOf(const state::TaskKey& aTask) const
  {
    auto queue = queueOfJob_.find(aTask.job.Number());
    return queue == queueOfJob_.end() ? "queue" : queue->second;
  }

  coordination::JobDispatcherHooks MakeHooks(std::size_t aEntry)
  {
    coordination::JobDispatcherHooks hooks;
    hooks.answer = [this, aEntry](coordination::SubmissionId aSubmission,
                                  const state::DispatchOutcome& aOutcome) {
      entries_[aEntry].outcomes[aSubmission] = aOutcome;
    };
    hooks.send = [this, aEntry](const state::ProcessId& aAgent,
                                const coordination::DispatchOrders& aOrders) {
      for (const state::RunKey& run : aOrders.stops) {
        running_[aAgent].erase(run);
      }
      for (const coordination::RunBatch& batch : aOrders.starts) {
        for (const coordination::RunOrder& order : batch.runs) {
          state::RunKey run{ { batch.job, batch.step, order.index },
                             order.run };
          running_[aAgent][run] = aEntry;
          entries_[aEntry].started.emplace_back(
            aAgent, StartedRun{ run, order.crashes, batch.queue });
        }
      }
    };
    return hooks;
  }

  std::chrono::milliseconds time_{ 1000 };
  coordination::simulation::VirtualClock clock_{ time_, {} };
  std::vector<Entry> entries_;
  /** Runs on each server, with their entries. */
  std::map<state::ProcessId, std::map<state::RunKey, std::size_t>> running_;
  std::map<std::uint64_t, std::string> queueOfJob_;
  std::uint64_t crashes_ = 0;
};

}
