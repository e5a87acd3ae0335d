#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "coordination/messages.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Number of agents in each data centre that keep a copy of the configuration
 * document, for entries that all start while the store is unavailable.
 */
inline constexpr std::size_t kKeepersPerDataCentre = 1;
/**
 * Number of processes that a process asks for newer documents. A change then
 * reaches entries that the store refuses although several contacts do not have
 * it either.
 */
inline constexpr std::size_t kDocumentContacts = 6;

/** Processes by id. */
using Processes = std::map<state::ProcessId, ProcessInfo>;

/**
 * Returns true if the process keeps a copy of the document: all entries, and
 * the agents with the lowest ids in each data centre.
 * @param aOthers other processes that are alive
 */
bool
KeepsDocument(const ProcessInfo& aProcess, const Processes& aOthers);

/**
 * Returns the processes that may have the document: entries and, for an entry,
 * the agents that keep a copy. An agent asks entries only, to which it has
 * connections anyway.
 */
std::vector<state::ProcessId>
DocumentSources(const ProcessInfo& aSelf, const Processes& aOthers);

/**
 * Returns the agents in the data centre of an entry that keep a copy; empty for
 * an agent.
 */
std::vector<state::ProcessId>
DocumentKeepersNear(const ProcessInfo& aSelf, const Processes& aOthers);

/**
 * Returns the kDocumentContacts sources that follow the process in the order of
 * the ids, so that each source is asked by equally many processes on average.
 */
std::vector<state::ProcessId>
DocumentContacts(const ProcessInfo& aSelf, const Processes& aOthers);

}
