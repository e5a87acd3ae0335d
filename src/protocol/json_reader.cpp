#include "protocol/json_reader.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace greengage::protocol {

namespace {

namespace json = boost::json;

/**
 * SAX handler that rejects duplicate keys and numbers out of range, which the
 * parser itself accepts.
 */
struct StrictHandler
{
  static constexpr std::size_t max_object_size = std::size_t(-1);
  static constexpr std::size_t max_array_size = std::size_t(-1);
  static constexpr std::size_t max_key_size = std::size_t(-1);
  static constexpr std::size_t max_string_size = std::size_t(-1);

  std::vector<std::set<std::string>> openObjects;
  std::string key;
  std::string duplicateKey;
  bool numberOutOfRange = false;

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&)
  {
    openObjects.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, json::error_code&)
  {
    openObjects.pop_back();
    return true;
  }
  bool on_array_begin(json::error_code&) { return true; }
  bool on_array_end(std::size_t, json::error_code&) { return true; }
  bool on_key_part(json::string_view aPart, std::size_t, json::error_code&)
  {
    key.append(aPart);
    return true;
  }
  bool on_key(json::string_view aPart, std::size_t, json::error_code& aError)
  {
    key.append(aPart);
    if (!openObjects.back().insert(key).second) {
      duplicateKey = key;
      aError = json::error::syntax;
      return false;
    }
    key.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code&)
  {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code&)
  {
    return true;
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code&)
  {
    return true;
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code&)
  {
    return true;
  }
  bool on_double(double aValue, json::string_view, json::error_code& aError)
  {
    // JSON has no infinity: the value would be serialised as another number.
    if (!std::isfinite(aValue)) {
      numberOutOfRange = true;
      aError = json::error::syntax;
    }
    return !numberOutOfRange;
  }
  bool on_bool(bool, json::error_code&) { return true; }
  bool on_null(json::error_code&) { return true; }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
};

}

tl::expected<json::value, ProtocolError>
ParseJson(std::string_view aText)
{
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::basic_parser<StrictHandler> validator(options);
  json::error_code error;
  std::size_t parsedBytes =
    validator.write_some(false, aText.data(), aText.size(), error);
  if (!validator.handler().duplicateKey.empty()) {
    return tl::unexpected(ProtocolError{
      validator.handler().duplicateKey,
      fmt::format("field appears twice, the second time near byte {}",
                  parsedBytes) });
  }
  if (validator.handler().numberOutOfRange) {
    return tl::unexpected(ProtocolError{
      "", fmt::format("number near byte {} is out of range", parsedBytes) });
  }
  if (error || parsedBytes != aText.size()) {
    return tl::unexpected(
      ProtocolError{ "",
                     fmt::format("invalid JSON at byte {}: {}",
                                 parsedBytes,
                                 error ? error.message() : "extra data") });
  }
  json::value value = json::parse(aText, error, {}, options);
  if (error) {
    return tl::unexpected(
      ProtocolError{ "", "invalid JSON: " + error.message() });
  }
  return value;
}

JsonReader::JsonReader(const json::value& aValue, std::string aPath)
  : path_(std::move(aPath))
{
  object_ = aValue.if_object();
  if (!object_) {
    Fail("", "must be an object");
  }
}

void
JsonReader::AllowOnly(std::initializer_list<std::string_view> aFields)
{
  if (!object_) {
    return;
  }
  for (const auto& field : *object_) {
    std::string_view name(field.key().data(), field.key().size());
    if (std::find(aFields.begin(), aFields.end(), name) == aFields.end()) {
      Fail(name, "is not a known field");
    }
  }
}

bool
JsonReader::Has(std::string_view aField) const
{
  return object_ && object_->contains(aField);
}

std::string
JsonReader::ReadString(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (!value) {
    return {};
  }
  if (!value->is_string()) {
    Fail(aField, "must be a string");
    return {};
  }
  return std::string(value->get_string());
}

std::uint64_t
JsonReader::ReadUnsigned(std::string_view aField,
                         std::uint64_t aMin,
                         std::uint64_t aMax)
{
  const json::value* value = Find(aField);
  if (!value) {
    return aMin;
  }
  json::error_code error;
  auto number = value->to_number<std::uint64_t>(error);
  if (error || value->is_double() || number < aMin || number > aMax) {
    Fail(aField, fmt::format("must be an integer from {} to {}", aMin, aMax));
    return aMin;
  }
  return number;
}

double
JsonReader::ReadNumber(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (!value) {
    return 0;
  }
  if (!value->is_number()) {
    Fail(aField, "must be a number");
    return 0;
  }
  return value->to_number<double>();
}

bool
JsonReader::ReadBool(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (!value) {
    return false;
  }
  if (!value->is_bool()) {
    Fail(aField, "must be true or false");
    return false;
  }
  return value->get_bool();
}

const json::array*
JsonReader::ReadArray(std::string_view aField)
{
  const json::value* value = Find(aField);
  if (value && !value->is_array()) {
    Fail(aField, "must be an array");
  }
  return value ? value->if_array() : nullptr;
}

const json::value*
JsonReader::ReadAny(std::string_view aField)
{
  return Find(aField);
}

void
JsonReader::Fail(std::string_view aField, std::string aMessage)
{
  if (failed_) {
    return;
  }
  failed_ = true;
  std::string path = path_;
  if (!path.empty() && !aField.empty()) {
    path += '.';
  }
  path.append(aField);
  error_ = { std::move(path), std::move(aMessage) };
}

const json::value*
JsonReader::Find(std::string_view aField)
{
  if (!object_) {
    return nullptr;
  }
  const json::value* value = object_->if_contains(aField);
  if (!value) {
    Fail(aField, "is missing");
  }
  return value;
}

}
