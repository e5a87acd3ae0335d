#pragma once

#include <functional>
#include <map>
#include <string>

#include "coordination/messages.h"
#include "state/clock.h"
#include "state/start_registry.h"

namespace greengage::coordination {

/** Result of a call to the backend server. */
struct BackendResult
{
  state::TaskState taskState = state::TaskState::eFailed;
  state::RefusalCode code = state::RefusalCode::eNone;
  /** JSON text of the result, or the reason for the failure. */
  std::string body;

  bool operator==(const BackendResult&) const = default;
};

/** Callbacks of a TaskRunner. */
struct TaskRunnerHooks
{
  /** Calls the backend server; OnBackendResult() must follow once. */
  std::function<void(const TaskStart&)> callBackend;
  /** Aborts a running call; its result is still reported. */
  std::function<
    void(const state::JobKey&, std::uint32_t aTask, std::uint32_t aAttempt)>
    abortCall;
  /** Sends to the process that last sent a valid token for the shard. */
  std::function<void(const state::ProcessId& aOwner, PeerMessage)> send;
};

/**
 * Runs tasks on the backend server of one agent: accepts or refuses starts,
 * reports results to the owner of the shard and drains the server. Used by the
 * control thread only.
 */
class TaskRunner
{
public:
  TaskRunner(const ProcessInfo& aSelf,
             const state::Clock& aClock,
             TaskRunnerHooks aHooks,
             const state::StartRegistryOptions& aRegistryOptions = {});

  void OnStartTasks(const state::ProcessId& aOwner, const StartTasks& aStart);
  void OnCancelTasks(const state::ProcessId& aOwner,
                     const CancelTasks& aCancel);
  void OnFence(const state::ProcessId& aOwner, const Fence& aFence);
  void OnHistoryQuery(const state::ProcessId& aOwner,
                      const HistoryQuery& aQuery);
  void OnBackendResult(const state::JobKey& aKey,
                       std::uint32_t aTask,
                       std::uint32_t aAttempt,
                       BackendResult aResult);

  /** Refuses every further start; running tasks continue. */
  void StartDraining() { draining_ = true; }
  bool Draining() const { return draining_; }
  std::size_t RunningTasks() const { return running_.size(); }

  /** Removes expired records; call about once a second. */
  void Tick();

private:
  using AttemptKey = std::tuple<state::JobKey, std::uint32_t, std::uint32_t>;

  struct RunningAttempt
  {
    std::uint32_t shard = 0;
    state::MonotonicTime started;
  };

  /**
   * Returns a record with eNone and eRunning if the task may start, else the
   * record to report to the owner.
   */
  state::TaskRecord TryStart(const StartTasks& aStart, const TaskStart& aTask);
  /** Returns why the agent cannot accept a start; eNone if it can. */
  state::RefusalCode CheckCapacity() const;
  /**
   * Returns true if the token is valid; results of the shard are then sent to
   * aOwner.
   */
  bool AcceptOwner(const state::ProcessId& aOwner,
                   std::uint32_t aShard,
                   const state::OwnershipToken& aToken);

  ProcessInfo self_;
  const state::Clock& clock_;
  TaskRunnerHooks hooks_;
  bool draining_ = false;
  state::StartRegistry startRegistry_;
  std::map<AttemptKey, RunningAttempt> running_;
  std::map<std::uint32_t, state::ProcessId> owners_;
};

}
