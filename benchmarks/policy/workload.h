#pragma once

#include <cstdint>
#include <string>
#include <vector>

/**
 * Workloads and fleets for the policy measurements. Times are in seconds of
 * virtual time; work is in seconds on a server of speed 1.
 */
namespace greengage::policy {

/** A backend server of the simulated fleet. */
struct FleetServer
{
  double speed = 1;
  std::uint32_t slots = 8;

  auto operator<=>(const FleetServer&) const = default;
};

/** Returns servers of 8 slots each, whose speeds are eleven evenly spaced
 * values from 1 to 4 in turn. */
std::vector<FleetServer>
MakeFleet(std::size_t aServers);

/** Returns the work that all slots of the fleet do per second. */
double
Capacity(const std::vector<FleetServer>& aFleet);

/** A kind of work, for which jobs use one template. */
struct WorkKind
{
  std::string name;
  /** Share of all jobs. */
  double share = 0;
  double meanWork = 0;
  /** Declared run time divided by the true mean run time. */
  double declaredFactor = 1;
  /** Whether the work of a task grows with the size of its payload. */
  bool scalesWithPayload = false;

  auto operator<=>(const WorkKind&) const = default;
};

/**
 * Returns the kinds of work. Most tasks run for 50 ms to 1 s on a server of
 * mean speed, a few for several seconds. Declared run times differ from the
 * true ones by a factor of up to four.
 */
const std::vector<WorkKind>&
WorkKinds();

/** Returns the mean work of a task over all kinds. */
double
MeanWork();

struct TaskSize
{
  std::uint32_t payloadBytes = 1;
  double work = 0;

  auto operator<=>(const TaskSize&) const = default;
};

/** A job and the time at which it arrives at the owner. */
struct Arrival
{
  double time = 0;
  std::string organisation;
  std::size_t kind = 0;
  std::uint8_t urgency = 1;
  std::vector<TaskSize> tasks;

  auto operator<=>(const Arrival&) const = default;
};

/** A Poisson stream of jobs of one organisation. */
struct Stream
{
  std::string organisation = "org";
  /** Offered work per second. */
  double offeredRate = 0;
  std::uint32_t tasksPerJob = 1;
  std::uint8_t urgency = 1;
  double start = 0;
  double end = 0;

  auto operator<=>(const Stream&) const = default;
};

/** Returns the arrivals of all streams in order of time. The same seed gives
 * the same arrivals. */
std::vector<Arrival>
MakeArrivals(const std::vector<Stream>& aStreams, std::uint32_t aSeed);

}
