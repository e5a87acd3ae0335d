#pragma once

namespace greengage::benchmarks {

/** Processor time and memory of an agent against remembered tasks. */
void
MeasureAgent();

/** Processor time and bytes of the messages per task start. */
void
MeasureMessages();

}
