/**
 * @file json_reader.cpp Typed access to fields of a JSON object.
 */

#include "platform/json_reader.h"

#include <fmt/format.h>

#include <cmath>

namespace bronze {

namespace json = boost::json;

Result<json::value> ParseJson(std::string_view aText) {
  json::error_code error;
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::value value =
      json::parse({aText.data(), aText.size()}, error, {}, options);
  if (error) {
    return MakeError(ErrorKind::BadRequest,
                     fmt::format("invalid JSON: {}", error.message()));
  }
  return value;
}

JsonReader::JsonReader(const json::value& aValue)
    : m_object(aValue.if_object()) {
  if (m_object == nullptr) Fail("not a JSON object");
}

void JsonReader::Fail(std::string aProblem) {
  if (!m_problem) m_problem = std::move(aProblem);
}

const json::value* JsonReader::Find(std::string_view aName) const {
  if (m_object == nullptr || m_problem) return nullptr;
  const json::value* value =
      m_object->if_contains({aName.data(), aName.size()});
  return value == nullptr || value->is_null() ? nullptr : value;
}

void JsonReader::Require(std::string_view aName) {
  if (Find(aName) == nullptr) Fail(fmt::format("{} is missing", aName));
}

double JsonReader::Number(std::string_view aName, double aDefault) {
  const json::value* value = Find(aName);
  if (value == nullptr) return aDefault;
  json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error) {
    Fail(fmt::format("{} is not a number", aName));
    return aDefault;
  }
  return number;
}

int64_t JsonReader::Integer(std::string_view aName, int64_t aDefault,
                            int64_t aLowest, int64_t aHighest) {
  const double number = Number(aName, static_cast<double>(aDefault));
  if (std::isnan(number) || number < static_cast<double>(aLowest) ||
      number > static_cast<double>(aHighest)) {
    Fail(fmt::format("{} is not a number between {} and {}", aName, aLowest,
                     aHighest));
    return aDefault;
  }
  return static_cast<int64_t>(number);
}

std::string JsonReader::Text(std::string_view aName) {
  const json::value* value = Find(aName);
  if (value == nullptr) return {};
  if (!value->is_string()) {
    Fail(fmt::format("{} is not a string", aName));
    return {};
  }
  const json::string& text = value->get_string();
  return {text.data(), text.size()};
}

bool JsonReader::Flag(std::string_view aName) {
  const json::value* value = Find(aName);
  if (value == nullptr) return false;
  if (!value->is_bool()) {
    Fail(fmt::format("{} is neither true nor false", aName));
    return false;
  }
  return value->get_bool();
}

const json::array* JsonReader::List(std::string_view aName) {
  const json::value* value = Find(aName);
  if (value == nullptr) return nullptr;
  if (!value->is_array()) {
    Fail(fmt::format("{} is not an array", aName));
    return nullptr;
  }
  return &value->get_array();
}

const json::value* JsonReader::Object(std::string_view aName) {
  const json::value* value = Find(aName);
  if (value == nullptr) return nullptr;
  if (!value->is_object()) {
    Fail(fmt::format("{} is not an object", aName));
    return nullptr;
  }
  return value;
}

}  // namespace bronze
