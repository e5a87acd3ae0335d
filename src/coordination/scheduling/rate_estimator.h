#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "coordination/scheduling/scheduler_types.h"

namespace greengage::coordination {

/** Class of a payload by size: the number of bits of its length in bytes. */
using SizeClass = std::uint8_t;

/**
 * Learns from run times how much work a task is and how fast each server is.
 * Work is in seconds on a server of speed 1, which is the mean of the fleet.
 * Estimates are exponentially weighted means that start from a prior.
 */
class RateEstimator
{
public:
  /** Longest payloads fall into the last class. */
  static constexpr std::size_t kSizeClasses = 18;

  static SizeClass ClassOf(std::size_t aPayloadBytes);

  /** A published run time is only the first guess; it is kept once learned. */
  void SetTemplate(TemplateIndex aTemplate,
                   std::chrono::milliseconds aExpected);
  /** Forgets what was learned about a server. */
  void ResetServer(ServerIndex aServer);
  /** A server that left no longer counts in the mean of the fleet. */
  void RemoveServer(ServerIndex aServer);

  /** Takes the run time of a task that succeeded. */
  void AddSample(ServerIndex aServer,
                 TemplateIndex aTemplate,
                 SizeClass aSize,
                 double aRunSeconds);

  /** Expected work of a task, in seconds at speed 1. */
  double Work(TemplateIndex aTemplate, SizeClass aSize) const;
  /** Speed of a server over all templates. */
  double Speed(ServerIndex aServer) const;
  /** Speed of a server for a template. */
  double Speed(ServerIndex aServer, TemplateIndex aTemplate) const;
  /** True once the work of the template is measured rather than declared. */
  bool Learned(TemplateIndex aTemplate) const;

private:
  /** Mean whose weight grows with the samples up to a bound. */
  struct Mean
  {
    float value = 0;
    float weight = 0;

    void Add(double aValue, float aMaxWeight);
  };

  struct TemplateRate
  {
    Mean work;
    std::uint32_t samples = 0;
    std::array<Mean, kSizeClasses> bySize;
  };

  /** Slowness is run time over expected work, the inverse of speed. */
  struct ServerRate
  {
    bool known = false;
    Mean slowness;
    std::vector<Mean> byTemplate;
  };

  std::vector<TemplateRate> templates_;
  std::vector<ServerRate> servers_;
  double slownessSum_ = 0;
  std::size_t serverCount_ = 0;
};

}
