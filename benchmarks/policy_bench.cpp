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
MeasureAtScale(const Scale& aResponse, const Scale& aFlood)
{
  Figures figures;
  Append(figures, MeasureResponse(aResponse, 1));
  Append(figures, MeasureResponse(aResponse, 100));
  Append(figures, MeasureMixedResponse(aResponse));
  Append(figures, MeasureFlood(aFlood, 0));
  Append(figures, MeasureFlood(aFlood, 3));
  Append(figures, MeasureWaste(aFlood));
  return figures;
}

/** Measured seconds at one fleet size. Larger fleets see more tasks in the
 * same time. */
struct Duration
{
  std::size_t servers = 0;
  double response = 0;
  double flood = 0;
};

}

/** Prints the policy figures in virtual time; arguments: seed, servers. */
int
main(int aCount, char** aArguments)
{
  std::uint32_t seed = aCount > 1 ? std::stoul(aArguments[1]) : 1;
  std::size_t only = aCount > 2 ? std::stoul(aArguments[2]) : 0;
  int status = 0;
  for (const Duration& duration : { Duration{ 11, 1200, 120 },
                                    Duration{ 100, 120, 30 },
                                    Duration{ 1000, 10, 4 } }) {
    if (only != 0 && only != duration.servers) {
      continue;
    }
    Scale response{ duration.servers, duration.response, seed };
    Scale flood{ duration.servers, duration.flood, seed };
    status |= Report(MeasureAtScale(response, flood));
  }
  Scale today{ 11, 120, seed };
  status |= Report(MeasureFailFast(today));
  status |= Report(MeasureStragglers(today));
  status |= Report(MeasureCancellations(today));
  return status;
}
