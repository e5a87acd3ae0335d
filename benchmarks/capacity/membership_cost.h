#pragma once

namespace greengage::benchmarks {

/** Measures the CPU time, traffic and memory per member by size of the fleet.
 */
void
MeasureMembership();

}
