#include "coordination/scheduling/rate_estimator.h"

#include <algorithm>
#include <bit>

namespace greengage::coordination {

namespace {

// A declared run time may be wrong by a factor of several, so it has the weight
// of one sample.
constexpr float kDeclaredWeight = 1;
constexpr float kMaxTemplateWeight = 512;
constexpr float kMaxSizeWeight = 128;
// Weight, in samples, of the template's mean in the estimate of a size class.
constexpr float kSizePriorWeight = 4;
// Weight, in samples, of the assumption that a new server has mean speed.
constexpr float kServerPriorWeight = 2;
constexpr float kMaxServerWeight = 64;
// Weight, in samples, of the server's overall speed in its speed for a
// template.
constexpr float kRatePriorWeight = 16;
constexpr float kMaxRateWeight = 64;
constexpr std::uint32_t kMinSamplesForEstimate = 8;
// Bounds the effect of a single extreme run time on a mean.
constexpr double kMinSlowness = 1.0 / 32;
constexpr double kMaxSlowness = 32;
constexpr double kMinRunSeconds = 1e-5;

}

void
RateEstimator::WeightedMean::Add(double aValue, float aMaxWeight)
{
  weight = std::min(weight + 1, aMaxWeight);
  value += (static_cast<float>(aValue) - value) / weight;
}

SizeClass
RateEstimator::ClassOf(std::size_t aPayloadBytes)
{
  return static_cast<SizeClass>(
    std::min<std::size_t>(std::bit_width(aPayloadBytes), kSizeClasses - 1));
}

void
RateEstimator::SetTemplate(TemplateIndex aTemplate,
                           std::chrono::milliseconds aExpected)
{
  if (aTemplate >= templates_.size()) {
    templates_.resize(aTemplate + 1);
  }
  TemplateRate& rate = templates_[aTemplate];
  if (rate.samples < kMinSamplesForEstimate) {
    auto declared = std::chrono::duration<float>(aExpected).count();
    rate.work = { declared, kDeclaredWeight };
  }
}

void
RateEstimator::ResetServer(ServerIndex aServer)
{
  if (aServer >= servers_.size()) {
    servers_.resize(aServer + 1);
  }
  RemoveServer(aServer);
  servers_[aServer].isKnown = true;
  servers_[aServer].slowness = { 1, kServerPriorWeight };
  slownessSum_ += 1;
  ++serverCount_;
}

void
RateEstimator::RemoveServer(ServerIndex aServer)
{
  ServerRate& server = servers_[aServer];
  if (server.isKnown) {
    slownessSum_ -= server.slowness.value;
    --serverCount_;
  }
  server = ServerRate{};
}

void
RateEstimator::AddSample(ServerIndex aServer,
                         TemplateIndex aTemplate,
                         SizeClass aSize,
                         double aRunSeconds)
{
  double seconds = std::max(aRunSeconds, kMinRunSeconds);
  double expectedWork = Work(aTemplate, aSize);
  // Only the ratio of work and speed can be measured. The speed is taken
  // relative to the mean of the fleet, as work and speed would otherwise drift
  // together.
  double meanSlowness = slownessSum_ / double(serverCount_);
  double relativeSpeed = Speed(aServer, aTemplate) * meanSlowness;

  ServerRate& server = servers_[aServer];
  double slowness =
    std::clamp(seconds / expectedWork, kMinSlowness, kMaxSlowness);
  slownessSum_ -= server.slowness.value;
  server.slowness.Add(slowness, kMaxServerWeight);
  slownessSum_ += server.slowness.value;
  if (aTemplate >= server.byTemplate.size()) {
    server.byTemplate.resize(aTemplate + 1);
  }
  server.byTemplate[aTemplate].Add(slowness, kMaxRateWeight);

  TemplateRate& rate = templates_[aTemplate];
  ++rate.samples;
  rate.work.Add(seconds * relativeSpeed, kMaxTemplateWeight);
  rate.bySize[aSize].Add(seconds * relativeSpeed, kMaxSizeWeight);
}

double
RateEstimator::Work(TemplateIndex aTemplate, SizeClass aSize) const
{
  const TemplateRate& rate = templates_[aTemplate];
  const WeightedMean& size = rate.bySize[aSize];
  return (size.value * size.weight + rate.work.value * kSizePriorWeight) /
         (size.weight + kSizePriorWeight);
}

double
RateEstimator::Speed(ServerIndex aServer) const
{
  return 1.0 / servers_[aServer].slowness.value;
}

double
RateEstimator::Speed(ServerIndex aServer, TemplateIndex aTemplate) const
{
  const ServerRate& server = servers_[aServer];
  if (aTemplate >= server.byTemplate.size()) {
    return 1.0 / server.slowness.value;
  }
  const WeightedMean& own = server.byTemplate[aTemplate];
  return (own.weight + kRatePriorWeight) /
         (own.value * own.weight + server.slowness.value * kRatePriorWeight);
}

bool
RateEstimator::IsLearned(TemplateIndex aTemplate) const
{
  return templates_[aTemplate].samples >= kMinSamplesForEstimate;
}

}
