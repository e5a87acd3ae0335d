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

/** Runs the measurements that are made at every fleet size. */
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

/** Measured virtual seconds at one fleet size. A larger fleet runs more tasks
 * per second, so a shorter time gives as many samples. */
struct MeasuredDuration
{
  std::size_t servers = 0;
  double response = 0;
  double flood = 0;
};

}

/** Prints the policy figures, measured in virtual time. Optional arguments: the
 * seed and the only fleet size to measure. */
int
main(int aCount, char** aArguments)
{
  std::uint32_t seed = aCount > 1 ? std::stoul(aArguments[1]) : 1;
  std::size_t selectedServers = aCount > 2 ? std::stoul(aArguments[2]) : 0;
  int status = 0;
  for (const MeasuredDuration& duration : { MeasuredDuration{ 11, 1200, 120 },
                                            MeasuredDuration{ 100, 120, 30 },
                                            MeasuredDuration{ 1000, 10, 4 } }) {
    if (selectedServers != 0 && selectedServers != duration.servers) {
      continue;
    }
    Scale response{ duration.servers, duration.response, seed };
    Scale flood{ duration.servers, duration.flood, seed };
    status |= Report(MeasureAtScale(response, flood));
  }
  Scale elevenServers{ 11, 120, seed };
  status |= Report(MeasureFailFast(elevenServers));
  status |= Report(MeasureStragglers(elevenServers));
  status |= Report(MeasureCancellations(elevenServers));
  return status;
}
