#include "dispatch/dispatch_simulation.h"

#include <algorithm>

#include <fmt/format.h>

// Connections between entries and agents, and their faults.
namespace greengage::testing {

using namespace coordination;
using state::ProcessId;

namespace {

constexpr std::array<LinkDirection, 2> kDirections{ LinkDirection::eToAgent,
                                                    LinkDirection::eToEntry };
/** Longest time of a message on a connection without a fault. */
constexpr Milliseconds kMaxMessageTime = 4;
constexpr Milliseconds kReportTime = 3;
/** Entries pass news on every 50 ms. */
constexpr Milliseconds kMaxNewsTime = 54;

std::size_t
IndexOf(LinkDirection aDirection)
{
  return aDirection == LinkDirection::eToAgent ? 0 : 1;
}

}

bool
DispatchSimulation::IsCut(const Link& aLink, LinkDirection aDirection) const
{
  return now_ < aLink.partitionedUntil ||
         now_ < aLink.silentUntil[IndexOf(aDirection)];
}

Milliseconds
DispatchSimulation::ArrivalOnLink(Link& aLink,
                                  LinkDirection aDirection,
                                  Milliseconds aTime)
{
  std::size_t i = IndexOf(aDirection);
  aLink.lastArrival[i] = std::max({ aLink.lastArrival[i],
                                    now_ + aTime + aLink.delay[i],
                                    aLink.heldUntil[i] });
  return aLink.lastArrival[i];
}

void
DispatchSimulation::SendToAgent(unsigned aEntry,
                                const ProcessId& aAgent,
                                const DispatchOrders& aOrders)
{
  unsigned server = FindServer(aAgent);
  if (server == servers_.size()) {
    return;
  }
  Link& link = links_[{ aEntry, server }];
  if (IsCut(link, LinkDirection::eToAgent)) {
    return;
  }
  Milliseconds arrival =
    ArrivalOnLink(link, LinkDirection::eToAgent, Random(1, kMaxMessageTime));
  TraceOrders(aEntry, server, aOrders, arrival);
  ScheduleAt(
    arrival,
    [this,
     aEntry,
     server,
     entry = entries_[aEntry].id,
     aAgent,
     aOrders,
     number = link.connectionNumber[0]] {
      bool lost = links_[{ aEntry, server }].connectionNumber[0] != number;
      if (!lost && servers_[server].agent == aAgent) {
        RunOnAgent(server, [this, server, entry, aOrders] {
          servers_[server].controller->OnOrders(entry, aOrders);
        });
      }
    });
}

void
DispatchSimulation::TraceOrders(unsigned aEntry,
                                unsigned aServer,
                                const DispatchOrders& aOrders,
                                Milliseconds aArrival)
{
  for (const RunBatch& batch : aOrders.starts) {
    Trace(batch.job.Number(),
          fmt::format("entry {} orders {} starts on {}, which arrive at {} ms",
                      aEntry,
                      batch.runs.size(),
                      aServer,
                      aArrival));
  }
  for (const state::RunKey& run : aOrders.stops) {
    Trace(run.task.job.Number(),
          fmt::format("entry {} orders to stop {} run {} on {}, arrives at {} "
                      "ms",
                      aEntry,
                      run.task.index,
                      run.run,
                      aServer,
                      aArrival));
  }
}

void
DispatchSimulation::SendToEntry(unsigned aServer,
                                const ProcessId& aEntry,
                                const ServerReport& aReport)
{
  if (aReport.holds && !aReport.holds->tasks.empty()) {
    ++holdReports_;
  }
  unsigned entry = FindEntry(aEntry);
  if (entry == entries_.size()) {
    return;
  }
  Link& link = links_[{ entry, aServer }];
  if (IsCut(link, LinkDirection::eToEntry)) {
    return;
  }
  ScheduleAt(
    ArrivalOnLink(link, LinkDirection::eToEntry, kReportTime),
    [this,
     entry,
     aServer,
     aEntry,
     agent = servers_[aServer].agent,
     aReport,
     number = link.connectionNumber[1]] {
      bool lost = links_[{ entry, aServer }].connectionNumber[1] != number;
      if (!lost && entries_[entry].id == aEntry) {
        RunOnEntry(entry, [this, entry, aServer, agent, aReport] {
          JobDispatcher& dispatcher = *entries_[entry].dispatcher;
          bool isNew =
            !aReport.isReleased && !dispatcher.Servers().Contains(agent);
          if (isNew && servers_[aServer].agent == agent) {
            dispatcher.OnAgent(DescribeAgent(aServer));
          }
          entries_[entry].evacuation->OnAgent(agent);
          if (aReport.evacuation) {
            entries_[entry].evacuation->OnProcessState(agent,
                                                       *aReport.evacuation);
          }
          dispatcher.OnReport(agent, aReport);
        });
      }
    });
}

void
DispatchSimulation::SetOffered(unsigned aEntry, unsigned aServer, bool aOffered)
{
  RunOnAgent(aServer, [this, aServer, aOffered, id = entries_[aEntry].id] {
    RunController& controller = *servers_[aServer].controller;
    if (aOffered) {
      controller.OnEntry(id, true);
    } else {
      controller.OnEntryNotChosen(id);
    }
  });
}

void
DispatchSimulation::Partition(unsigned aEntry,
                              unsigned aServer,
                              Milliseconds aTime)
{
  Link& link = links_[{ aEntry, aServer }];
  link.partitionedUntil = std::max(link.partitionedUntil, now_ + aTime);
  ScheduleAt(link.partitionedUntil,
             [this, aEntry, aServer] { ResetConnection(aEntry, aServer); });
}

void
DispatchSimulation::DropInFlight(unsigned aEntry,
                                 unsigned aServer,
                                 LinkDirection aDirection)
{
  Link& link = links_[{ aEntry, aServer }];
  std::size_t i = IndexOf(aDirection);
  ++link.connectionNumber[i];
  link.heldUntil[i] = 0;
  link.lastArrival[i] = std::min(link.lastArrival[i], now_ + kMaxMessageTime);
}

void
DispatchSimulation::ResetConnection(unsigned aEntry, unsigned aServer)
{
  for (LinkDirection direction : kDirections) {
    DropInFlight(aEntry, aServer, direction);
  }
  RunOnEntry(aEntry, [this, aEntry, agent = servers_[aServer].agent] {
    entries_[aEntry].dispatcher->OnAgentDisconnected(agent);
    entries_[aEntry].evacuation->OnDisconnected(agent);
  });
}

void
DispatchSimulation::SendHolds(unsigned aEntry, const TaskHolds& aHolds)
{
  EntryNews news;
  news.holds.push_back({ entries_[aEntry].id, aHolds });
  for (unsigned i = 0; i < entries_.size(); ++i) {
    if (i == aEntry) {
      continue;
    }
    ScheduleAt(now_ + Random(1, kMaxNewsTime), [this, i, news] {
      RunOnEntry(
        i, [this, i, news] { entries_[i].dispatcher->OnEntryNews(news); });
    });
  }
}

void
DispatchSimulation::ResetDirection(unsigned aEntry,
                                   unsigned aServer,
                                   LinkDirection aDirection)
{
  // Each direction has a connection of its own; the entry sees both end.
  DropInFlight(aEntry, aServer, aDirection);
  RunOnEntry(aEntry, [this, aEntry, agent = servers_[aServer].agent] {
    entries_[aEntry].dispatcher->OnAgentDisconnected(agent);
    entries_[aEntry].evacuation->OnDisconnected(agent);
  });
}

void
DispatchSimulation::ResetAllConnections()
{
  for (unsigned entry = 0; entry < entries_.size(); ++entry) {
    for (unsigned server = 0; server < servers_.size(); ++server) {
      ResetConnection(entry, server);
    }
  }
}

void
DispatchSimulation::HoldMessages(unsigned aEntry,
                                 unsigned aServer,
                                 LinkDirection aDirection,
                                 Milliseconds aTime)
{
  Milliseconds& until =
    links_[{ aEntry, aServer }].heldUntil[IndexOf(aDirection)];
  until = std::max(until, now_ + aTime);
}

void
DispatchSimulation::SetDelay(unsigned aEntry,
                             unsigned aServer,
                             LinkDirection aDirection,
                             Milliseconds aDelay)
{
  links_[{ aEntry, aServer }].delay[IndexOf(aDirection)] = aDelay;
}

void
DispatchSimulation::SilenceDirection(unsigned aEntry,
                                     unsigned aServer,
                                     LinkDirection aDirection,
                                     Milliseconds aTime)
{
  Milliseconds& until =
    links_[{ aEntry, aServer }].silentUntil[IndexOf(aDirection)];
  until = std::max(until, now_ + aTime);
  ScheduleAt(until, [this, aEntry, aServer, aDirection] {
    ResetDirection(aEntry, aServer, aDirection);
  });
}

}
