#pragma once

namespace greengage::benchmarks {

/** Measures the CPU time and memory of an agent by number of retained tasks. */
void
MeasureAgent();

/** Measures the CPU time and size of the start and result messages by number of
 * tasks. */
void
MeasureMessages();

}
