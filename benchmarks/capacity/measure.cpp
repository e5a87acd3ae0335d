#include "benchmarks/capacity/measure.h"

#include <ctime>
#include <malloc.h>

#include <fmt/format.h>

namespace greengage::benchmarks {

std::size_t
HeapBytes()
{
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double
ThreadNanoseconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

void
PrintPoint(std::string_view aName,
           double aX,
           double aValue,
           std::string_view aUnit)
{
  fmt::print("point {} {:.0f} {:.3f} {}\n", aName, aX, aValue, aUnit);
}

}
