#include "policy/figure.h"

#include <fmt/format.h>

namespace greengage::policy {

bool
Figure::MeetsBound() const
{
  switch (kind) {
    case BoundKind::eAtMost:
      return value <= bound;
    case BoundKind::eAtLeast:
      return value >= bound;
    case BoundKind::eNone:
      return true;
  }
  return false;
}

std::string
Figure::ToLine() const
{
  std::string line =
    fmt::format("bench {} {:.4f} {} bound ", name, value, unit);
  if (kind == BoundKind::eNone) {
    return line + "none";
  }
  return line + fmt::format("{} {:.4g} {}",
                            kind == BoundKind::eAtMost ? "<=" : ">=",
                            bound,
                            MeetsBound() ? "ok" : "short");
}

int
Report(const Figures& aFigures)
{
  int status = 0;
  for (const Figure& figure : aFigures) {
    fmt::print("{}\n", figure.ToLine());
    status = figure.MeetsBound() ? status : 1;
  }
  return status;
}

}
