#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::state {

/**
 * ID that the caller chose for a job: 16 hexadecimal digits. It keeps the case
 * of the letters, so that a backend server is told the ID that the caller sent.
 * IDs that differ in case only belong to different jobs.
 */
class DispatchJobId
{
public:
  /**
   * @param aNumber value of the digits
   * @param aUpperCase bit i is set if the digit with the value 16^i is an
   * upper-case letter; bits of other digits are ignored
   */
  constexpr DispatchJobId(std::uint64_t aNumber = 0,
                          std::uint16_t aUpperCase = 0)
    : number_(aNumber)
    , upperCase_(aUpperCase & LettersOf(aNumber))
  {
  }

  /** Returns empty if the text is not exactly 16 hexadecimal digits. */
  static std::optional<DispatchJobId> Parse(std::string_view aText);

  std::string ToString() const;
  std::uint64_t Number() const { return number_; }
  std::uint16_t UpperCase() const { return upperCase_; }

  auto operator<=>(const DispatchJobId&) const = default;

private:
  /** Returns the digits that are letters, as bits. */
  static constexpr std::uint16_t LettersOf(std::uint64_t aNumber)
  {
    constexpr unsigned kFirstLetter = 10;
    unsigned letters = 0;
    for (unsigned bit = 1; aNumber != 0; aNumber >>= 4, bit <<= 1) {
      letters |= (aNumber & 0xf) >= kFirstLetter ? bit : 0;
    }
    return static_cast<std::uint16_t>(letters);
  }

  std::uint64_t number_;
  std::uint16_t upperCase_;
};

}
