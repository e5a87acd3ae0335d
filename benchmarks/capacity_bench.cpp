#include "benchmarks/capacity/agent_cost.h"
#include "benchmarks/capacity/membership_cost.h"
#include "benchmarks/capacity/owner_cost.h"

// Prints the measured points from which docs/CAPACITY.md derives its slopes.
int
main()
{
  using namespace greengage::benchmarks;
  MeasureOwner();
  MeasureAgent();
  MeasureMessages();
  MeasureMembership();
  return 0;
}
