#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <tl/expected.hpp>

#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Deeper JSON is refused, so that parsing cannot exhaust the stack. */
inline constexpr std::size_t kMaxJsonDepth = 16;

/**
 * Parses one JSON text. Duplicate keys of an object, trailing bytes, numbers
 * beyond the range of a double and nesting beyond kMaxJsonDepth are errors with
 * their byte position.
 */
tl::expected<boost::json::value, ProtocolError>
ParseJson(std::string_view aText);

/**
 * Reads the fields of one object and remembers the first error, so that a
 * decoder can read all fields and check once at the end.
 */
class JsonReader
{
public:
  /** aPath is the path of the object itself, empty for the top. */
  JsonReader(const boost::json::value& aValue, std::string aPath);

  /** Reports every field that is not listed. */
  void AllowOnly(std::initializer_list<std::string_view> aFields);

  bool Has(std::string_view aField) const;
  std::string ReadString(std::string_view aField);
  std::uint64_t ReadUnsigned(std::string_view aField,
                             std::uint64_t aMin,
                             std::uint64_t aMax);
  double ReadNumber(std::string_view aField);
  bool ReadBool(std::string_view aField);
  /** Null if the field is missing or not an array; the error is kept. */
  const boost::json::array* ReadArray(std::string_view aField);
  /** Null if the field is missing; any type is allowed. */
  const boost::json::value* ReadAny(std::string_view aField);

  void Fail(std::string_view aField, std::string aMessage);
  bool Ok() const { return !failed_; }
  const ProtocolError& Error() const { return error_; }

private:
  const boost::json::value* Find(std::string_view aField);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  bool failed_ = false;
  ProtocolError error_;
};

}
