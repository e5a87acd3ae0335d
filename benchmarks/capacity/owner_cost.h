#pragma once

namespace greengage::benchmarks {

/** Processor time and memory of an owner against workers and tasks. */
void
MeasureOwner();

}
