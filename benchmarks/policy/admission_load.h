#pragma once

#include <cstdint>
#include <vector>

namespace greengage::policy {

/** One kind of jobs: its size, priority and rate. */
struct AdmissionKind
{
  std::uint32_t tasks = 1;
  /** Mean run time of a task at speed 1, in seconds. */
  double runSeconds = 0;
  /** Jobs per second at load 1, for the whole fleet. */
  double rate = 0;
  std::uint32_t priority = 0;

  auto operator<=>(const AdmissionKind&) const = default;
};

/** One job as its caller submits it first. */
struct AdmissionArrival
{
  double at = 0;
  std::size_t kind = 0;
  std::size_t entry = 0;
  /** Mean run time of its tasks at speed 1; the caller's estimate is off. */
  double runSeconds = 0;
  double estimateSeconds = 0;
  /** Time that the caller waits, and in which it submits again. */
  double patienceSeconds = 0;

  auto operator<=>(const AdmissionArrival&) const = default;
};

/** Size of the model, and what happens in it. */
struct AdmissionLoad
{
  std::size_t entries = 4;
  std::size_t servers = 14;
  double seconds = 20;
  /** Load without bursts, as a multiple of the capacity of the fleet. */
  double load = 1;
  /**
   * For 3 of each 6 s, one kind after the other comes at 2.2 times its rate,
   * and 15% of the servers take no work.
   */
  bool hasBursts = false;
  std::uint32_t seed = 1;

  auto operator<=>(const AdmissionLoad&) const = default;
};

inline constexpr std::uint32_t kCoresPerTaskMillicores = 7000;

/** Kinds in the proportions of the larger deployment, at unit load. */
std::vector<AdmissionKind>
AdmissionKinds(const AdmissionLoad& aLoad);

/** Returns the run time of a task of speed 1 divided by that on the server. */
double
AdmissionSpeed(std::size_t aServer);
std::uint32_t
AdmissionMillicores(std::size_t aServer);
/** Returns the task seconds at speed 1 that the fleet completes per second. */
double
AdmissionCapacity(const AdmissionLoad& aLoad);

/** Returns true if the server takes no work at this time. */
bool
IsTakenAway(const AdmissionLoad& aLoad, std::size_t aServer, double aAt);

/** Returns the first attempts in the order of time. */
std::vector<AdmissionArrival>
MakeAdmissionArrivals(const AdmissionLoad& aLoad);

}
