#pragma once

#include <optional>
#include <string>
#include <vector>

namespace greengage::policy {

/** How a value must compare with its bound. */
enum class BoundKind : std::uint8_t
{
  eNone,
  eAtMost,
  eAtLeast,
};

/** One measured value and the bound that it must meet, if any. */
struct Figure
{
  std::string name;
  double value = 0;
  std::string unit;
  BoundKind kind = BoundKind::eNone;
  double bound = 0;

  bool operator==(const Figure&) const = default;

  bool MeetsBound() const;
  /**
   * Returns `bench NAME VALUE UNIT bound OP BOUND ok|short`; without a bound,
   * the line ends in `bound none`.
   */
  std::string ToLine() const;
};

using Figures = std::vector<Figure>;

/** Prints one line per figure. Returns 1 if a bound is missed, else 0. */
int
Report(const Figures& aFigures);

}
