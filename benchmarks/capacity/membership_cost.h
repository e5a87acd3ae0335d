#pragma once

namespace greengage::benchmarks {

/** Processor time, bytes and memory of one member by size of the fleet. */
void
MeasureMembership();

}
