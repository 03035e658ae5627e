/**
 * @file runner_answer.cpp The body of a simulated runner's answer.
 */

#include "standin/runner_answer.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <nlohmann/json.hpp>

namespace bronze {

using nlohmann::json;

std::string DigestOf(std::string_view aBody) {
  return fmt::format("{:016x}", XXH3_64bits(aBody.data(), aBody.size()));
}

std::string EncodeRunnerAnswer(const RunnerAnswer& aAnswer) {
  json answer = {{"request", aAnswer.m_request},
                 {"runner", aAnswer.m_runner.Value()},
                 {"kind", aAnswer.m_kind.Value()},
                 {"digest", aAnswer.m_digest},
                 {"body", aAnswer.m_body}};
  try {
    return answer.dump();
  } catch (const json::exception&) {
    answer.erase("body");
    std::string hex;
    boost::algorithm::hex_lower(aAnswer.m_body, std::back_inserter(hex));
    answer["body_hex"] = hex;
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
  }
}

std::optional<RunnerAnswer> DecodeRunnerAnswer(std::string_view aText) {
  const json parsed = json::parse(aText, nullptr, false);
  if (!parsed.is_object()) return std::nullopt;
  try {
    RunnerAnswer answer;
    answer.m_request = parsed.at("request").get<std::string>();
    answer.m_runner = RunnerId(parsed.at("runner").get<std::string>());
    answer.m_kind = KindId(parsed.at("kind").get<std::string>());
    answer.m_digest = parsed.at("digest").get<std::string>();
    if (parsed.contains("body")) {
      answer.m_body = parsed.at("body").get<std::string>();
    } else {
      boost::algorithm::unhex(parsed.at("body_hex").get<std::string>(),
                              std::back_inserter(answer.m_body));
    }
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
}

std::string MarkerOf(std::string_view aBody) {
  const json parsed = json::parse(aBody, nullptr, false);
  if (!parsed.is_object()) return {};
  const auto marker = parsed.find("marker");
  if (marker == parsed.end() || !marker->is_string()) return {};
  return marker->get<std::string>();
}

}  // namespace bronze
