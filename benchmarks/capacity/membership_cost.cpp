#include "benchmarks/capacity/membership_cost.h"

#include <memory>

#include "benchmarks/capacity/measure.h"
#include "tests/coordination/membership_simulation.h"

namespace greengage::benchmarks {

using coordination::MembershipSimulation;

namespace {

// Gossip spreads the initial member list for up to 40 s.
constexpr std::chrono::seconds kWarmUpTime{ 60 };
constexpr int kMeasuredSeconds = 10;

/** Returns the bytes that all members have sent and received so far. */
double
TotalBytes(MembershipSimulation& aFleet)
{
  double bytes = 0;
  for (std::size_t i = 0; i < aFleet.Count(); ++i) {
    const auto& node = aFleet.At(i);
    bytes += static_cast<double>(node.bytesSent + node.bytesReceived);
  }
  return bytes;
}

}

void
MeasureMembership()
{
  for (std::size_t members : { 100, 300, 1000 }) {
    std::size_t heap = HeapBytes();
    auto fleet = std::make_unique<MembershipSimulation>(1, members);
    fleet->StartAll();
    fleet->IntroduceAll();
    double count = static_cast<double>(members);
    PrintPoint("member_memory",
               count,
               static_cast<double>(HeapBytes() - heap) / count / 1024,
               "KiB");
    fleet->Run(kWarmUpTime);
    double bytes = TotalBytes(*fleet);
    double start = ThreadNanoseconds();
    fleet->Run(std::chrono::seconds(kMeasuredSeconds));
    double cost = ThreadNanoseconds() - start;
    PrintPoint("member_bytes",
               count,
               (TotalBytes(*fleet) - bytes) / count / kMeasuredSeconds / 1024,
               "KiB/s");
    // The time includes the simulated message bus and its decoding.
    PrintPoint(
      "member_time", count, cost / count / kMeasuredSeconds / 1000, "us/s");
  }
}

}
