#pragma once

#include <optional>
#include <string>
#include <vector>

namespace greengage::policy {

/** Which side of the bound is good. */
enum class BoundKind : std::uint8_t
{
  eNone,
  eAtMost,
  eAtLeast,
};

/** One measured value and the target that it must meet. */
struct Figure
{
  std::string name;
  double value = 0;
  std::string unit;
  BoundKind kind = BoundKind::eNone;
  double bound = 0;

  bool operator==(const Figure&) const = default;

  bool Met() const;
  /** `bench NAME VALUE UNIT bound OP BOUND ok|short`, or `bound none`. */
  std::string ToLine() const;
};

using Figures = std::vector<Figure>;

/** Prints one line per figure; returns 1 if a target is missed, else 0. */
int
Report(const Figures& aFigures);

}
