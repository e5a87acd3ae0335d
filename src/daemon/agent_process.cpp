#include "daemon/agent_process.h"

#include "daemon/peer_listener.h"
#include "daemon/process_identity.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;

namespace {

constexpr std::chrono::milliseconds kAnnouncePeriod{ 500 };
constexpr std::chrono::milliseconds kTickPeriod{ 50 };
/**
 * Every membership packet contains the configuration version of its sender, so
 * a newer version is pulled within 500 ms. The regular pulls only cover missed
 * packets. With a pull every 2 s, 200 agents take 1% more of a core at the
 * owner.
 */
constexpr std::chrono::seconds kPeerPullPeriod{ 30 };
/**
 * Changes are announced at once, and membership detects lost agents. The
 * periodic status only refreshes the values shown to operators. 1,000 agents
 * send 5 KB per second to an entry.
 */
constexpr std::chrono::seconds kStatusPeriod{ 30 };

ConfigurationFollowerSettings
MakeFollowerSettings()
{
  ConfigurationFollowerSettings settings;
  settings.hasLog = false;
  settings.peerPullPeriod = kPeerPullPeriod;
  return settings;
}

}

AgentProcess::AgentProcess(const AgentSettings& aSettings)
  : settings_(aSettings)
  , traffic_(aSettings.common.trafficThreads)
  , network_(traffic_,
             control_,
             { [this](const ProcessInfo& aFrom, const PeerMessage& aMessage) {
                OnPeerMessage(aFrom, aMessage);
              },
               [this](const state::ProcessId& aPeer, bool aReachable) {
                 if (!aReachable) {
                   OnEntryLost(aPeer);
                 }
               },
               [this](const auto& aMessages, std::size_t aBytes) {
                 sentTraffic_.Count(aMessages, aBytes);
               },
               [this](const auto& aMessages, std::size_t aBytes) {
                 receivedTraffic_.Count(aMessages, aBytes);
               } })
  , backend_(traffic_,
             control_,
             *transport::ParseEndpoint(aSettings.backendAddress))
  , configuration_(
      traffic_,
      control_,
      clock_,
      "",
      MakeFollowerSettings(),
      { [this](const state::ProcessId& aPeer, PeerMessage aMessage) {
        network_.Send(aPeer, std::move(aMessage));
      } })
  , membership_(
      traffic_,
      control_,
      clock_,
      { [this](const ProcessInfo& aProcess) {
         if (aProcess.role == ProcessRole::eEntry) {
           OnEntry(aProcess);
         }
       },
        [this](const state::ProcessId& aProcess) { OnEntryLost(aProcess); },
        [this](const state::ProcessId& aProcess) { OnEntryLost(aProcess); },
        [this](const state::ProcessId& aProcess, std::uint64_t aVersion) {
          configuration_.Follower().OnPeerVersion(aProcess, aVersion);
        } })
{
}

AgentProcess::~AgentProcess()
{
  control_.Stop();
  traffic_.Stop();
}

tl::expected<void, DaemonError>
AgentProcess::Start()
{
  auto self = OpenPeerListener(network_, settings_.common, ProcessRole::eAgent);
  if (!self) {
    return tl::unexpected(self.error());
  }
  self_ = *self;
  auto status = StartStatusServer();
  if (!status) {
    return status;
  }
  control_.Every(kAnnouncePeriod, [this] { Announce(); });
  control_.Every(kTickPeriod, [this] { OnTick(); });
  configuration_.Start();
  control_.Post([this] {
    backend_.ReadCapacity(
      [this](const BackendCapacity& aCapacity) { OnCapacity(aCapacity); });
  });
  control_.Start();
  traffic_.Start();
  transport::LogEvent(transport::events::kProcessStarted,
                      "peer={} backend={} metrics={} data_centre={} rack={}",
                      self_.peerAddress,
                      settings_.backendAddress,
                      metricsAddress_,
                      self_.dataCentre,
                      self_.rack);
  return {};
}

void
AgentProcess::Stop(std::function<void()> aDone)
{
  control_.Post([this, done = std::move(aDone)] {
    transport::LogEvent(transport::events::kProcessStopping,
                        "running_tasks={}",
                        runner_ ? runner_->RunningTasks() : 0);
    onStopped_ = done;
    Drain();
  });
}

void
AgentProcess::Drain()
{
  self_.draining = true;
  if (runner_) {
    runner_->StartDraining();
    network_.SetSelf(self_);
    membership_.Members()->SetSelf(self_);
    nextStatusAt_ = {};
    Announce();
  }
}

void
AgentProcess::OnCapacity(const BackendCapacity& aCapacity)
{
  self_.slots = aCapacity.slots;
  if (settings_.maxSlots != 0) {
    self_.slots = std::min(self_.slots, settings_.maxSlots);
  }
  self_.memoryMb = aCapacity.memoryMb;
  self_.accelerators = aCapacity.accelerators;
  TaskRunnerHooks hooks;
  hooks.callBackend = [this](const TaskStart& aTask) {
    agentMetrics_.OnStarted();
    backend_.Run(aTask, [this](const TaskStart& aDone, BackendResult aResult) {
      runner_->OnBackendResult(
        aDone.key, aDone.task, aDone.attempt, std::move(aResult));
    });
  };
  hooks.abortCall = [this](const state::JobKey& aKey,
                           std::uint32_t aTask,
                           std::uint32_t aAttempt) {
    backend_.Abort(aKey, aTask, aAttempt);
  };
  hooks.send = [this](const state::ProcessId& aOwner, PeerMessage aMessage) {
    agentMetrics_.OnSent(aMessage);
    network_.Send(aOwner, std::move(aMessage));
  };
  runner_ = std::make_unique<TaskRunner>(self_, clock_, std::move(hooks));
  network_.Start(self_);
  auto joined = membership_.Start(self_, settings_.common.seeds);
  if (!joined) {
    transport::LogEvent(transport::events::kStartFailed,
                        "reason={}",
                        transport::QuoteValue(joined.error().message));
  }
  Announce();
}

void
AgentProcess::OnPeerMessage(const ProcessInfo& aFrom,
                            const PeerMessage& aMessage)
{
  if (configuration_.OnPeerMessage(aFrom.id, aMessage)) {
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    network_.SetPeer(hello->process);
    if (hello->process.role == ProcessRole::eEntry) {
      OnEntry(hello->process);
    }
  } else if (const auto* drain = std::get_if<DrainAgent>(&aMessage)) {
    if (drain->agent == self_.id) {
      Drain();
    }
  } else if (const auto* start = std::get_if<StartTasks>(&aMessage)) {
    runner_->OnStartTasks(aFrom.id, *start);
  } else if (const auto* cancel = std::get_if<CancelTasks>(&aMessage)) {
    runner_->OnCancelTasks(aFrom.id, *cancel);
  } else if (const auto* fence = std::get_if<Fence>(&aMessage)) {
    runner_->OnFence(aFrom.id, *fence);
  } else if (const auto* query = std::get_if<HistoryQuery>(&aMessage)) {
    runner_->OnHistoryQuery(aFrom.id, *query);
  } else if (const auto* request = std::get_if<LeaseRequest>(&aMessage)) {
    auto [member, isNew] = leaseMembers_.try_emplace(
      request->shard, request->shard, self_.id, clock_);
    network_.Send(aFrom.id, member->second.OnRequest(aFrom.id, *request));
  }
}

void
AgentProcess::OnEntry(const ProcessInfo& aEntry)
{
  network_.SetPeer(aEntry);
  if (entries_.insert(aEntry.id).second) {
    nextStatusAt_ = {};
    configuration_.Follower().SetPeers({ entries_.begin(), entries_.end() });
  }
}

void
AgentProcess::OnEntryLost(const state::ProcessId& aEntry)
{
  if (entries_.erase(aEntry) > 0) {
    configuration_.Follower().SetPeers({ entries_.begin(), entries_.end() });
  }
}

void
AgentProcess::OnTick()
{
  if (runner_) {
    runner_->Tick();
  }
  membership_.Tick(configuration_.Follower().Version());
  for (auto& [shard, member] : leaseMembers_) {
    member.Expire();
  }
  bool idle = !runner_ || runner_->RunningTasks() == 0;
  if (onStopped_ && idle) {
    auto onStopped = std::exchange(onStopped_, nullptr);
    // The delay lets the last results and the leave message be sent.
    if (membership_.Members()) {
      membership_.Members()->Leave();
    }
    control_.After(kAnnouncePeriod, [this, onStopped] {
      network_.Stop();
      membership_.Stop();
      transport::LogEvent(transport::events::kProcessStopped, "reason=request");
      onStopped();
    });
  }
}

void
AgentProcess::Announce()
{
  if (!runner_) {
    return;
  }
  for (const std::string& seed : settings_.common.seeds) {
    network_.ConnectSeed(seed);
  }
  auto now = clock_.MonotonicNow();
  if (now < nextStatusAt_) {
    return;
  }
  nextStatusAt_ = now + kStatusPeriod;
  AgentStatus status{ self_,
                      static_cast<std::uint32_t>(runner_->RunningTasks()) };
  for (const state::ProcessId& entry : entries_) {
    network_.Send(entry, status);
  }
}

}
