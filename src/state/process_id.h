#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::state {

/**
 * Identity of a process from its start to its end. A restarted process has a
 * new identity, even at the same address, because its memory is lost.
 */
struct ProcessId
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const ProcessId&) const = default;

  /** Returns 32 lower-case hexadecimal digits. */
  std::string ToString() const;

  /** Parses the form of ToString(); returns nullopt if it is malformed. */
  static std::optional<ProcessId> Parse(std::string_view aText);
};

}

template<>
struct std::hash<greengage::state::ProcessId>
{
  std::size_t operator()(const greengage::state::ProcessId& aId) const noexcept
  {
    return aId.high ^ (aId.low * 0x9e3779b97f4a7c15ULL);
  }
};
