/**
 * @file bounded_json.h Parses JSON and CBOR with limits on size and depth.
 *
 * The parsers of the JSON library recurse once per level, so the depth of input
 * from outside is checked before it is parsed to a value.
 */

#ifndef BRONZE_CODEC_BOUNDED_JSON_H_
#define BRONZE_CODEC_BOUNDED_JSON_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

inline constexpr size_t kMaxMessageBytes = size_t{4} << 20;
inline constexpr size_t kMaxMessageDepth = 16;

[[nodiscard]] Result<nlohmann::json> ParseBoundedJson(
    std::string_view aText, size_t aMaxBytes = kMaxMessageBytes);

[[nodiscard]] Result<nlohmann::json> ParseBoundedCbor(
    std::string_view aBytes, size_t aMaxBytes = kMaxMessageBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_BOUNDED_JSON_H_
