#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "coordination/scheduling/scheduler_types.h"

namespace greengage::coordination {

/** Size class of a payload: the bit width of its length in bytes. */
using SizeClass = std::uint8_t;

/**
 * Estimates the work of tasks and the speed of servers from measured run times.
 * Work is the run time in seconds on a server of speed 1, which is the mean of
 * the fleet. Estimates are exponentially weighted means that start from a
 * prior.
 */
class RateEstimator
{
public:
  /** The last class also holds all longer payloads. */
  static constexpr std::size_t kSizeClasses = 18;

  static SizeClass ClassOf(std::size_t aPayloadBytes);

  /**
   * Sets the declared run time of a template as the prior of its work. Has no
   * effect once the work has been estimated from enough samples.
   */
  void SetTemplate(TemplateIndex aTemplate,
                   std::chrono::milliseconds aExpected);
  /** Adds a server, or discards what is known about its speed. */
  void ResetServer(ServerIndex aServer);
  /** Removes a server, also from the mean speed of the fleet. */
  void RemoveServer(ServerIndex aServer);

  /** Adds the measured run time of a task that succeeded. */
  void AddSample(ServerIndex aServer,
                 TemplateIndex aTemplate,
                 SizeClass aSize,
                 double aRunSeconds);

  /** Expected work of a task, in seconds at speed 1. */
  double Work(TemplateIndex aTemplate, SizeClass aSize) const;
  /** Estimated speed of a server over all templates. */
  double Speed(ServerIndex aServer) const;
  /** Estimated speed of a server for one template. */
  double Speed(ServerIndex aServer, TemplateIndex aTemplate) const;
  /** True if the work of the template is estimated from enough samples. */
  bool IsLearned(TemplateIndex aTemplate) const;

private:
  /** Running mean; the weight of old samples is bounded. */
  struct WeightedMean
  {
    float value = 0;
    float weight = 0;

    void Add(double aValue, float aMaxWeight);
  };

  struct TemplateRate
  {
    WeightedMean work;
    std::uint32_t samples = 0;
    std::array<WeightedMean, kSizeClasses> bySize;
  };

  /** Slowness is the run time divided by the expected work: 1 / speed. */
  struct ServerRate
  {
    bool isKnown = false;
    WeightedMean slowness;
    std::vector<WeightedMean> byTemplate;
  };

  std::vector<TemplateRate> templates_;
  std::vector<ServerRate> servers_;
  double slownessSum_ = 0;
  std::size_t serverCount_ = 0;
};

}
