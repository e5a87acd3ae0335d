#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "coordination/messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** Number of servers that an entry knows on average in a large fleet. */
inline constexpr std::size_t kServersPerEntry = 32;
/**
 * Limits of the number of entries that know a server. Fleets with at most the
 * upper limit of entries use every server from every entry.
 */
inline constexpr std::size_t kMinEntriesPerServer = 6;
inline constexpr std::size_t kMaxEntriesPerServer = 12;

/**
 * Returns the number of entries to which an agent offers its server, so that
 * the number of servers of an entry does not grow with the fleet.
 */
std::size_t
EntriesPerServer(std::size_t aEntries, std::size_t aAgents);

/**
 * Returns the entries to which an agent offers its server: by rendezvous
 * hashing of the addresses, two fifths of them in its own data centre. Every
 * server is known by equally many entries, and an entry that joins or leaves
 * changes the choice only of the agents that chose it.
 */
std::set<state::ProcessId>
ChooseEntries(const ProcessInfo& aAgent,
              const std::vector<ProcessInfo>& aEntries,
              std::size_t aCount);

/** Record of a changed choice, for the log. */
struct EntryChoiceRecord
{
  std::size_t added = 0;
  std::size_t removed = 0;
  std::size_t chosen = 0;
  std::size_t entries = 0;
  std::size_t agents = 0;
};

struct EntryChoiceHooks
{
  std::function<void(const ProcessInfo&)> chosen;
  /** Called for entries that are alive but not chosen, possibly repeatedly. */
  std::function<void(const state::ProcessId&)> notChosen;
  std::function<void(const EntryChoiceRecord&)> changed;
};

/**
 * The entries to which an agent offers its server, as the fleet changes. Used
 * by the control thread only.
 */
class EntryChoice
{
public:
  EntryChoice(const state::Clock& aClock, EntryChoiceHooks aHooks);

  /** Must be called before the other methods. */
  void SetSelf(const ProcessInfo& aSelf) { self_ = aSelf; }
  /** Records an entry or agent that is alive. */
  void OnAlive(const ProcessInfo& aProcess);
  void OnLost(const state::ProcessId& aProcess);
  bool IsChosen(const state::ProcessId& aEntry) const
  {
    return chosen_.contains(aEntry);
  }
  /** Must be called at least every 50 ms. */
  void Tick();

private:
  void Update();

  const state::Clock& clock_;
  EntryChoiceHooks hooks_;
  ProcessInfo self_;
  std::map<state::ProcessId, ProcessInfo> entries_;
  std::set<state::ProcessId> agents_;
  std::set<state::ProcessId> chosen_;
  bool hasChanged_ = false;
  state::MonotonicTime nextUpdateAt_;
};

}
