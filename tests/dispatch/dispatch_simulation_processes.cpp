#include "dispatch/dispatch_simulation.h"

#include <algorithm>

// Processes that lag behind: queues of messages, freezes and stalls.
namespace greengage::testing {

namespace {

/**
 * A process that stands still for less than 400 ms is not treated as paused.
 */
constexpr Milliseconds kMinStall = 350;
constexpr Milliseconds kMaxStall = 399;
/** Longest time that a stalled process runs between two stalls. */
constexpr Milliseconds kMaxRunTime = 25;

}

void
DispatchSimulation::Enqueue(ProcessQueue& aQueue,
                            const Milliseconds& aFrozenUntil,
                            std::function<void()> aFunction)
{
  aQueue.waiting.push_back(std::move(aFunction));
  RunWaiting(aQueue, aFrozenUntil);
}

void
DispatchSimulation::RunWaiting(ProcessQueue& aQueue,
                               const Milliseconds& aFrozenUntil)
{
  while (!aQueue.waiting.empty() &&
         now_ >= std::max(aFrozenUntil, aQueue.freeAt)) {
    auto function = std::move(aQueue.waiting.front());
    aQueue.waiting.pop_front();
    aQueue.freeAt = now_ + aQueue.cost;
    function();
  }
  if (aQueue.waiting.empty() || aQueue.isScheduled) {
    return;
  }
  aQueue.isScheduled = true;
  ScheduleAt(std::max(aFrozenUntil, aQueue.freeAt),
             [this, &aQueue, &aFrozenUntil] {
               aQueue.isScheduled = false;
               RunWaiting(aQueue, aFrozenUntil);
             });
}

void
DispatchSimulation::ClearQueue(ProcessQueue& aQueue)
{
  aQueue.waiting.clear();
  aQueue.freeAt = now_;
}

void
DispatchSimulation::OnFreezeEnd(ProcessQueue& aQueue,
                                const Milliseconds& aFrozenUntil,
                                const std::function<void()>& aTick)
{
  if (now_ < aFrozenUntil) {
    return;
  }
  // A due timer and readable sockets are handled in any order.
  bool timerFirst = Chance(0.5);
  if (timerFirst) {
    aTick();
  }
  RunWaiting(aQueue, aFrozenUntil);
  if (!timerFirst) {
    aTick();
  }
}

void
DispatchSimulation::TickAgent(unsigned aServer)
{
  ServerNode& node = servers_[aServer];
  if (node.isAgentUp && now_ >= node.frozenUntil) {
    node.controller->Tick();
  }
}

void
DispatchSimulation::TickEntry(unsigned aEntry)
{
  EntryNode& node = entries_[aEntry];
  if (node.isUp && now_ >= node.frozenUntil) {
    node.dispatcher->Tick();
    node.evacuation->Tick();
  }
}

void
DispatchSimulation::FreezeEntry(unsigned aEntry, Milliseconds aTime)
{
  EntryNode& node = entries_[aEntry];
  node.frozenUntil = std::max(node.frozenUntil, now_ + aTime);
  if (settings_.hasProcessQueues) {
    ScheduleAt(node.frozenUntil, [this, aEntry] {
      EntryNode& entry = entries_[aEntry];
      OnFreezeEnd(
        entry.queue, entry.frozenUntil, [this, aEntry] { TickEntry(aEntry); });
    });
  }
}

void
DispatchSimulation::FreezeAgent(unsigned aServer, Milliseconds aTime)
{
  ServerNode& node = servers_[aServer];
  node.frozenUntil = std::max(node.frozenUntil, now_ + aTime);
  if (settings_.hasProcessQueues) {
    ScheduleAt(node.frozenUntil, [this, aServer] {
      ServerNode& server = servers_[aServer];
      OnFreezeEnd(server.queue, server.frozenUntil, [this, aServer] {
        TickAgent(aServer);
      });
    });
  }
}

void
DispatchSimulation::StallEntry(unsigned aEntry, Milliseconds aTime)
{
  Milliseconds stall = Random(kMinStall, kMaxStall);
  FreezeEntry(aEntry, stall);
  if (aTime > stall) {
    Milliseconds next = stall + Random(1, kMaxRunTime);
    ScheduleAt(now_ + next, [this, aEntry, rest = aTime - next] {
      StallEntry(aEntry, rest);
    });
  }
}

void
DispatchSimulation::StallAgent(unsigned aServer, Milliseconds aTime)
{
  Milliseconds stall = Random(kMinStall, kMaxStall);
  FreezeAgent(aServer, stall);
  if (aTime > stall) {
    Milliseconds next = stall + Random(1, kMaxRunTime);
    ScheduleAt(now_ + next, [this, aServer, rest = aTime - next] {
      StallAgent(aServer, rest);
    });
  }
}

void
DispatchSimulation::SetEntryCost(unsigned aEntry, Milliseconds aCost)
{
  entries_[aEntry].queue.cost = aCost;
}

void
DispatchSimulation::SetAgentCost(unsigned aServer, Milliseconds aCost)
{
  servers_[aServer].queue.cost = aCost;
}

void
DispatchSimulation::StepAgentClock(unsigned aServer, Milliseconds aStep)
{
  servers_[aServer].clock->Step(std::chrono::milliseconds(aStep));
}

}
