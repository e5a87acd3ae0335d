#pragma once

#include <cstdint>
#include <string>

namespace greengage::policy {

/** Which servers an entry knows. */
enum class SubsetKind : std::uint8_t
{
  /** Every entry knows every server. */
  eFullMesh,
  /** Each agent chooses its entries: coordination::ChooseEntries(). */
  eAgentChooses,
  /** Each entry chooses as many servers by hash, without regard to balance. */
  eEntryChooses,
  /**
   * Each agent offers its free slots to one entry at a time, which uses them or
   * loses them when the next offer goes to another entry (join-idle-queue).
   */
  eOffersSlots,
};

std::string
ToString(SubsetKind aKind);

/** Load and events of one simulation. */
struct SubsetScenario
{
  unsigned entries = 55;
  unsigned agents = 240;
  unsigned dataCentres = 5;
  /** Load as a share of the capacity of all servers. */
  double load = 0.74;
  /** Factor on the load of the callers of the first data centre. */
  double shift = 1;
  /** Factor on the load of all callers in the middle third of the time. */
  double burst = 1;
  /** The servers of the last data centre are lost at half time. */
  bool losesDataCentre = false;
  std::uint64_t seed = 1;
};

/** Results over all tasks of one simulation, in virtual time. */
struct SubsetResult
{
  double meanWaitMs = 0;
  double p99WaitMs = 0;
  /** Share of tasks that started later than the limit of their kind. */
  double lateShare = 0;
  /** Refused starts for each task. */
  double refusals = 0;
  /** Processor time of the entries for each task, in ms. */
  double entryCostMs = 0;
  /** Mean age of the reports in the data centre of the smallest entries. */
  double reportAgeMs = 0;
  /** Most servers that one entry knows. */
  unsigned mostServers = 0;
};

/**
 * Simulates entries with 0.09 to 0.5 cores that place tasks on servers with
 * delayed reports. Reports, placements and refusals take processor time of the
 * entry; a start on a full server is refused and placed again.
 */
SubsetResult
SimulateSubset(SubsetKind aKind, const SubsetScenario& aScenario);

}
