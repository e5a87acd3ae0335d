#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace greengage::tools {

/** How jobs arrive over time. */
enum class ArrivalProcess
{
  /** Independent arrivals at a constant rate. */
  ePoisson,
  /** Groups of jobs that arrive together, at the same mean rate. */
  eBurst,
};

/** Distribution of the run times of tasks. */
enum class RunTimeShape
{
  eFixed,
  eExponential,
  /** 95% uniform below the mean, 5% several times longer. */
  eLongTail,
};

/** A name and the relative frequency with which it is chosen. */
struct Share
{
  std::string name;
  double weight = 1.0;

  bool operator==(const Share&) const = default;
};

/** Settings of a generated load; equal settings give an equal plan. */
struct LoadSettings
{
  ArrivalProcess arrivals = ArrivalProcess::ePoisson;
  /** Jobs per second of all organisations, excluding the flood. */
  double rate = 20;
  std::uint32_t burstSize = 20;
  std::chrono::milliseconds duration{ 10'000 };
  std::vector<Share> organisations{ { "org", 1 } };
  std::vector<Share> templates{ { "quote", 1 } };
  /** The names are the urgencies `0` to `3`. */
  std::vector<Share> urgencies{ { "1", 1 } };
  std::uint32_t minTasks = 1;
  std::uint32_t maxTasks = 1;
  RunTimeShape runTimeShape = RunTimeShape::eExponential;
  std::chrono::milliseconds meanRunTime{ 100 };
  std::chrono::milliseconds deadline{ 30'000 };
  /** Share of jobs that are sent again through another entry. */
  double resubmitShare = 0;
  /** Organisation that floods in the middle third of the run; empty: none. */
  std::string floodOrganisation;
  /** Jobs per second of the flood. */
  double floodRate = 0;
  std::uint32_t floodUrgency = 0;
  std::uint64_t seed = 1;

  bool operator==(const LoadSettings&) const = default;
};

/** One job of the plan. */
struct PlannedJob
{
  /** Time of the submission, since the start of the load. */
  std::chrono::microseconds at{ 0 };
  std::string organisation;
  std::string templateName;
  std::uint32_t urgency = 1;
  bool isFlood = false;
  bool resubmit = false;
  /** Run time of each task on a server of speed 1. */
  std::vector<std::chrono::milliseconds> runTimes;

  bool operator==(const PlannedJob&) const = default;
};

/** Generates the jobs of a load, in order of arrival. */
std::vector<PlannedJob>
MakeLoadPlan(const LoadSettings& aSettings);

}
