/**
 * @file key_json.h JSON form of the table rows key/SHARD/KEY, which hold
 * idempotency keys.
 */

#ifndef BRONZE_CODEC_KEY_JSON_H_
#define BRONZE_CODEC_KEY_JSON_H_

#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "core/request/key_owner_base.h"

namespace bronze {

[[nodiscard]] std::string EncodeKeyRow(const KeyRow& aRow);
[[nodiscard]] Result<KeyRow> DecodeKeyRow(std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_CODEC_KEY_JSON_H_
