#include <cstdlib>
#include <string>

#include <fmt/format.h>

#include "policy/scenarios.h"

namespace {

using namespace greengage::policy;

void
Append(Figures& aAll, const Figures& aMore)
{
  aAll.insert(aAll.end(), aMore.begin(), aMore.end());
}

/** Measurements that are run at every fleet size. */
Figures
MeasureAtScale(const Scale& aScale)
{
  Figures figures;
  Append(figures, MeasureResponse(aScale, 1));
  Append(figures, MeasureResponse(aScale, 100));
  Append(figures, MeasureMixedResponse(aScale));
  Append(figures, MeasureFlood(aScale, 0));
  Append(figures, MeasureFlood(aScale, 3));
  Append(figures, MeasureWaste(aScale));
  return figures;
}

}

/** Prints the policy figures in virtual time; arguments: seed, servers. */
int
main(int aCount, char** aArguments)
{
  std::uint32_t seed = aCount > 1 ? std::stoul(aArguments[1]) : 1;
  std::size_t only = aCount > 2 ? std::stoul(aArguments[2]) : 0;
  int status = 0;
  // Larger fleets see more tasks per second, so less time gives as many.
  for (const Scale& scale : { Scale{ 11, 300, seed },
                              Scale{ 100, 60, seed },
                              Scale{ 1000, 10, seed } }) {
    if (only == 0 || only == scale.servers) {
      status |= Report(MeasureAtScale(scale));
    }
  }
  Scale today{ 11, 120, seed };
  status |= Report(MeasureFailFast(today));
  status |= Report(MeasureStragglers(today));
  status |= Report(MeasureCancellations(today));
  return status;
}
