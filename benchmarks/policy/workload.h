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

/** Speeds from 1 to 4 in eleven equal steps, 8 slots each. */
std::vector<FleetServer>
MakeFleet(std::size_t aServers);

/** Work per second of all slots. */
double
Capacity(const std::vector<FleetServer>& aFleet);

/** One kind of work. */
struct WorkKind
{
  std::string name;
  /** Part of all jobs. */
  double share = 0;
  double meanWork = 0;
  /** Declared over true run time. */
  double declaredError = 1;
  /** Work grows with the size of the payload. */
  bool followsPayload = false;

  auto operator<=>(const WorkKind&) const = default;
};

/**
 * Most tasks run for 50 ms to 1 s on a server of mean speed and a few for
 * several seconds; declared run times are up to four times off.
 */
const std::vector<WorkKind>&
WorkKinds();

/** Mean work of a task over all kinds. */
double
MeanWork();

struct TaskSize
{
  std::uint32_t payloadBytes = 1;
  double work = 0;

  auto operator<=>(const TaskSize&) const = default;
};

/** A job that reaches the owner. */
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

/** Arrivals of all streams in order of time; the same for the same seed. */
std::vector<Arrival>
MakeArrivals(const std::vector<Stream>& aStreams, std::uint32_t aSeed);

}
