#include <utility>

#include <fmt/format.h>

#include "policy/subset_model.h"

/**
 * Prints the results of the ways to choose the servers that an entry knows, in
 * virtual time, for several loads and events.
 */
int
main()
{
  using namespace greengage::policy;
  const std::pair<const char*, SubsetScenario> scenarios[] = {
    { "load_0.74", {} },
    { "load_0.9", { 55, 240, 5, 0.9 } },
    { "burst_1.3", { 55, 240, 5, 0.74, 1, 1.3 } },
    { "shift_1.5", { 55, 240, 5, 0.74, 1.5 } },
    { "lost_data_centre", { 55, 240, 5, 0.6, 1, 1, true } },
    { "1042_machines", { 190, 852, 5, 0.74 } },
  };
  fmt::print("{:17} {:14} {:>9} {:>9} {:>7} {:>9} {:>9} {:>8} {:>8}\n",
             "scenario",
             "way",
             "mean ms",
             "p99 ms",
             "late",
             "refusals",
             "cost ms",
             "age ms",
             "servers");
  for (const auto& [name, scenario] : scenarios) {
    for (SubsetKind kind : { SubsetKind::eFullMesh,
                             SubsetKind::eAgentChooses,
                             SubsetKind::eEntryChooses,
                             SubsetKind::eOffersSlots }) {
      SubsetResult result = SimulateSubset(kind, scenario);
      fmt::print("{:17} {:14} {:9.1f} {:9.0f} {:7.4f} {:9.3f} {:9.3f} {:8.0f} "
                 "{:8}\n",
                 name,
                 ToString(kind),
                 result.meanWaitMs,
                 result.p99WaitMs,
                 result.lateShare,
                 result.refusals,
                 result.entryCostMs,
                 result.reportAgeMs,
                 result.mostServers);
    }
  }
  return 0;
}
