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

/** JSON with deeper nesting is rejected: it could exhaust the stack. */
inline constexpr std::size_t kMaxJsonDepth = 16;

/**
 * Parses one JSON text. Returns an error with the byte position for duplicate
 * keys of an object, trailing bytes, numbers beyond the range of a double and
 * nesting beyond kMaxJsonDepth.
 */
tl::expected<boost::json::value, ProtocolError>
ParseJson(std::string_view aText);

/**
 * Reads the fields of one object and stores the first error, so that a decoder
 * can read all fields and check for an error once at the end.
 */
class JsonReader
{
public:
  /** aPath is the path of the object itself; empty for the root. */
  JsonReader(const boost::json::value& aValue, std::string aPath);

  /** Stores an error if the object has a field that is not in aFields. */
  void AllowOnly(std::initializer_list<std::string_view> aFields);

  bool Has(std::string_view aField) const;
  std::string ReadString(std::string_view aField);
  std::uint64_t ReadUnsigned(std::string_view aField,
                             std::uint64_t aMin,
                             std::uint64_t aMax);
  double ReadNumber(std::string_view aField);
  bool ReadBool(std::string_view aField);
  /** Returns null and stores an error if the field is no array or missing. */
  const boost::json::array* ReadArray(std::string_view aField);
  /** Returns a value of any type; null and an error if it is missing. */
  const boost::json::value* ReadAny(std::string_view aField);

  /** Stores an error for the field unless there is an earlier one. */
  void Fail(std::string_view aField, std::string aMessage);
  bool Ok() const { return !failed_; }
  const ProtocolError& Error() const { return error_; }

private:
  /** Returns null and stores an error if the field is missing. */
  const boost::json::value* Find(std::string_view aField);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  bool failed_ = false;
  ProtocolError error_;
};

}
