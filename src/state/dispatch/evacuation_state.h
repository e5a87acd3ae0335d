#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace greengage::state {

/**
 * The data centres in which no task may be started, as requested by the
 * operator. A state replaces those with lower revisions.
 */
struct EvacuationState
{
  /** Offset in the operator's log up to which it is complete; 0: not known. */
  std::uint64_t revision = 0;
  std::set<std::string> dataCentres;

  bool IsKnown() const { return revision > 0; }
  bool Contains(const std::string& aDataCentre) const
  {
    return dataCentres.contains(aDataCentre);
  }

  auto operator<=>(const EvacuationState&) const = default;
};

}
