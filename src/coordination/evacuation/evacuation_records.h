#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "state/dispatch/evacuation_state.h"

namespace greengage::coordination {

/**
 * Maximum number of data centres of a state that is passed on. With the longest
 * names, a message stays below 16 KB. The users' largest site has five.
 */
inline constexpr std::size_t kMaxEvacuatedDataCentres = 64;
/** Longest name of a data centre; keys of the log have up to 255 bytes. */
inline constexpr std::size_t kMaxDataCentreBytes = 255;

/** A record of the operator's log that concerns one data centre. */
struct EvacuationRecord
{
  std::string dataCentre;
  /** False if the record removes the request. */
  bool isRequested = false;

  auto operator<=>(const EvacuationRecord&) const = default;
};

/**
 * Returns the state after further records, oldest first. Records without the
 * name of a data centre are ignored.
 * @param aRevision offset that follows the last record
 */
state::EvacuationState
WithRecords(state::EvacuationState aState,
            const std::vector<EvacuationRecord>& aRecords,
            std::uint64_t aRevision);

/**
 * Returns the state without the data centres beyond the maximum number, in the
 * order of their names, so that all processes drop the same ones.
 */
state::EvacuationState
Limited(const state::EvacuationState& aState);

}
