/**
 * @file row_array.h Helpers for rows in CBOR: arrays whose first element is the
 * format version.
 */

#ifndef BRONZE_CODEC_ROW_ARRAY_H_
#define BRONZE_CODEC_ROW_ARRAY_H_

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "codec/bounded_json.h"
#include "core/error/error_type.h"

namespace bronze {

using Json = nlohmann::json;

inline constexpr int kFormatVersion = 1;

inline std::string ToBytes(const Json& aJson) {
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

/** Runs aRead on the decoded array; an exception becomes an Error. */
template <class T, class Read>
Result<T> Decode(std::string_view aBytes, std::string_view aWhat, Read aRead,
                 int aNewestVersion = kFormatVersion) {
  const auto parsed = ParseBoundedCbor(aBytes);
  if (!parsed) return parsed.error();
  try {
    const Json& json = parsed.value();
    const int version = json.at(0).get<int>();
    if (version < kFormatVersion || version > aNewestVersion) {
      return MakeError(ErrorKind::PeerMalformed,
                       fmt::format("{} has an unknown format version", aWhat));
    }
    return aRead(json);
  } catch (const Json::exception& error) {
    return MakeError(ErrorKind::PeerMalformed,
                     fmt::format("malformed {}: {}", aWhat, error.what()));
  }
}

}  // namespace bronze

#endif  // BRONZE_CODEC_ROW_ARRAY_H_
