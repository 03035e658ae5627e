/**
 * @file bounded_json.cpp Parses JSON and CBOR with limits on size and depth.
 */

#include "codec/bounded_json.h"

namespace bronze {

using nlohmann::json;

namespace {

/** Accepts all values, and stops at the first that is nested too deeply. */
class DepthCheck final : public nlohmann::json_sax<json> {
 public:
  // The library's interface defines these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t aPosition, const std::string&,
                   const nlohmann::detail::exception& aError) override {
    m_problem = "byte " + std::to_string(aPosition) + ": " + aError.what();
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  [[nodiscard]] const std::string& Problem() const { return m_problem; }

 private:
  bool Enter() {
    if (++m_depth <= kMaxMessageDepth) return true;
    m_problem = "nesting depth exceeds " + std::to_string(kMaxMessageDepth);
    return false;
  }
  bool Leave() {
    --m_depth;
    return true;
  }

  size_t m_depth = 0;
  std::string m_problem;
};

Result<json> Parse(std::string_view aBytes, size_t aMaxBytes,
                   json::input_format_t aFormat) {
  if (aBytes.size() > aMaxBytes) {
    return MakeError(ErrorKind::BodyTooLarge,
                     "message of " + std::to_string(aBytes.size()) +
                         " bytes exceeds the limit of " +
                         std::to_string(aMaxBytes));
  }
  DepthCheck check;
  if (!json::sax_parse(aBytes.begin(), aBytes.end(), &check, aFormat)) {
    return MakeError(ErrorKind::BadRequest,
                     "malformed message: " + check.Problem());
  }
  // The input is well-formed, so parsing it again cannot fail.
  return aFormat == json::input_format_t::json
             ? json::parse(aBytes.begin(), aBytes.end(), nullptr, false)
             : json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
}

}  // namespace

Result<json> ParseBoundedJson(std::string_view aText, size_t aMaxBytes) {
  return Parse(aText, aMaxBytes, json::input_format_t::json);
}

Result<json> ParseBoundedCbor(std::string_view aBytes, size_t aMaxBytes) {
  return Parse(aBytes, aMaxBytes, json::input_format_t::cbor);
}

}  // namespace bronze
