/**
 * @file json_reader.h Typed access to fields of a JSON object. After the first
 * invalid field, the reader has failed and every read returns the default.
 */

#ifndef BRONZE_PLATFORM_JSON_READER_H_
#define BRONZE_PLATFORM_JSON_READER_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

/** More deeply nested input is refused by the parser. */
inline constexpr size_t kMaxJsonDepth = 16;

/** Largest integer that a JSON number holds exactly. */
inline constexpr int64_t kMaxExact = int64_t{1} << 53;

/** Parses a text that holds one JSON value. */
[[nodiscard]] Result<boost::json::value> ParseJson(std::string_view aText);

class JsonReader {
 public:
  /** @param aValue must outlive the reader. */
  explicit JsonReader(const boost::json::value& aValue);

  /** @return the field, or aDefault if it is missing. */
  int64_t Integer(std::string_view aName, int64_t aDefault, int64_t aLowest,
                  int64_t aHighest);
  double Number(std::string_view aName, double aDefault);
  std::string Text(std::string_view aName);
  bool Flag(std::string_view aName);
  /** @return null if the field is missing. */
  const boost::json::array* List(std::string_view aName);
  const boost::json::value* Object(std::string_view aName);

  /** Fails if the field is missing. */
  void Require(std::string_view aName);

  void Fail(std::string aProblem);
  [[nodiscard]] bool Failed() const { return m_problem.has_value(); }
  [[nodiscard]] std::string Problem() const { return m_problem.value_or(""); }

 private:
  const boost::json::value* Find(std::string_view aName) const;

  const boost::json::object* m_object = nullptr;
  std::optional<std::string> m_problem;
};

}  // namespace bronze

#endif  // BRONZE_PLATFORM_JSON_READER_H_
