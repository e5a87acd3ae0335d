#include "coordination/dispatch/server_pool.h"

#include <algorithm>

// Servers that fail, refuse or lose runs, and the pauses that follow.
namespace greengage::coordination {

using state::ProcessId;
using state::ResourceAmount;
using std::chrono::milliseconds;

namespace {

/** Consecutive failures, of any jobs, that eject a server. */
constexpr unsigned kFailuresToEject = 3;
constexpr milliseconds kFirstEjection{ 1000 };
constexpr unsigned kMaxEjectionDoublings = 4;
/** Cooldown after a refused start; a new report arrives within this time. */
constexpr milliseconds kRefusedCooldown{ 50 };
/**
 * Runs that become overdue within this time have one cause. It covers the delay
 * of the ends after a lost answer to a renewal.
 */
constexpr milliseconds kOverdueWindow{ 250 };
/** Limit of the cooldown after refusals for want of capacity. */
constexpr unsigned kMaxRefusalDoublings = 3;
/** Cooldown for suspects after an agent refused one; it may have another. */
constexpr milliseconds kSuspectCooldown{ 100 };

}

void
ServerPool::OnCapacityRefused(const ProcessId& aServer,
                              const ResourceAmount& aNeed)
{
  auto found = servers_.find(aServer);
  if (found == servers_.end() || !found->second.description) {
    return;
  }
  Server& server = found->second;
  if (!Fits(aNeed,
            server.description->capacity -
              (server.usedByOthers + server.usedByEntry))) {
    return;
  }
  server.cooldownUntil =
    clock_.MonotonicNow() + kRefusedCooldown * (1u << server.capacityRefusals);
  server.capacityRefusals =
    std::min(server.capacityRefusals + 1, kMaxRefusalDoublings);
}

void
ServerPool::OnRunDone(const ProcessId& aServer)
{
  Server& server = servers_[aServer];
  server.failuresInRow = 0;
  server.capacityRefusals = 0;
  server.ejections = 0;
}

void
ServerPool::OnRunOverdue(const ProcessId& aServer)
{
  auto now = clock_.MonotonicNow();
  Server& server = servers_[aServer];
  if (now - server.overdueAt >= kOverdueWindow) {
    server.overdueAt = now;
    OnRunFailed(aServer);
  }
}

void
ServerPool::OnRunFailed(const ProcessId& aServer)
{
  Server& server = servers_[aServer];
  if (server.ejections > 0 && clock_.MonotonicNow() < server.cooldownUntil) {
    return;
  }
  ++server.failuresInRow;
  bool onTrial = server.ejections > 0;
  if (server.failuresInRow < kFailuresToEject && !onTrial) {
    return;
  }
  auto pause =
    kFirstEjection * (1 << std::min(server.ejections, kMaxEjectionDoublings));
  server.cooldownUntil = clock_.MonotonicNow() + pause;
  server.failuresInRow = 0;
  ++server.ejections;
}

void
ServerPool::OnCrashed(const ProcessId& aServer)
{
  auto server = servers_.find(aServer);
  if (server != servers_.end()) {
    server->second.failuresInRow = 0;
    server->second.ejections = 0;
    server->second.cooldownUntil = {};
  }
}

void
ServerPool::OnRefused(const ProcessId& aServer)
{
  Server& server = servers_[aServer];
  server.cooldownUntil =
    std::max(server.cooldownUntil, clock_.MonotonicNow() + kRefusedCooldown);
}

void
ServerPool::OnSuspectRefused(const ProcessId& aServer)
{
  servers_[aServer].suspectCooldownUntil =
    clock_.MonotonicNow() + kSuspectCooldown;
}

}
