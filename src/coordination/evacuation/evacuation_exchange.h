#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/evacuation/evacuation_change.h"
#include "state/clock.h"
#include "state/dispatch/evacuation_state.h"
#include "state/process_id.h"

namespace greengage::coordination {

struct EvacuationExchangeHooks
{
  /** Sends the state to an entry or an agent. */
  std::function<void(const state::ProcessId&, const state::EvacuationState&)>
    send;
  /** Called after the set of evacuated data centres has changed. */
  std::function<void(const EvacuationChange&)> changed;
};

/**
 * The evacuation state of an entry: the newest one that the operator's log or
 * another process has provided. Passes it on to other entries and to the agents
 * whose servers this entry knows. A process gets it when it becomes known or
 * reconnects and after each change; it is then repeated a few times, because a
 * message can be lost with its connection. Used by the control thread only.
 */
class EvacuationExchange
{
public:
  EvacuationExchange(const state::Clock& aClock,
                     EvacuationExchangeHooks aHooks);

  void SetSelf(const state::ProcessId& aSelf) { self_ = aSelf; }
  const state::EvacuationState& State() const { return state_; }

  void OnEntry(const state::ProcessId& aEntry);
  void OnAgent(const state::ProcessId& aAgent);
  void OnLost(const state::ProcessId& aProcess);
  /** Messages to the process may have been lost with its connection. */
  void OnDisconnected(const state::ProcessId& aProcess);

  /** Handles the state that the operator's log describes. */
  void OnLogState(const state::EvacuationState& aState);
  /** Handles the state of another process; an older one is answered. */
  void OnProcessState(const state::ProcessId& aFrom,
                      const state::EvacuationState& aState);

  /** Sends what is due; call at least every 50 ms. */
  void Tick();

private:
  /** What is still to be sent to one process. */
  struct Contact
  {
    bool isAgent = false;
    state::MonotonicTime dueAt;
    std::chrono::milliseconds repeatDelay{ 0 };
    unsigned sendsLeft = 0;
    /** Earliest time of the next answer to an outdated state. */
    state::MonotonicTime nextAnswerAt;
  };

  void Adopt(const state::EvacuationState& aState,
             const std::optional<state::ProcessId>& aFrom);
  /** Schedules the number of sends that the state requires. */
  void Schedule(Contact& aContact) const;
  void ScheduleAll();
  /** Sends a state of which only the revision is new once, with a delay. */
  void ScheduleRevision();
  /** Returns the processes to which this one sends by itself. */
  std::vector<state::ProcessId> Targets() const;
  /** Returns true if an agent may not have the state that is in force. */
  bool ConcernsAgents() const
  {
    return hasEvacuated_ || !state_.dataCentres.empty();
  }

  const state::Clock& clock_;
  EvacuationExchangeHooks hooks_;
  state::ProcessId self_;
  state::EvacuationState state_;
  /** True once a data centre has been evacuated. */
  bool hasEvacuated_ = false;
  std::map<state::ProcessId, Contact> contacts_;
  std::set<state::ProcessId> entries_;
};

}
