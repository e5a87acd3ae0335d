#pragma once

namespace greengage::benchmarks {

/** Measures the CPU time and memory of an owner by number of workers and of
 * retained tasks. */
void
MeasureOwner();

}
