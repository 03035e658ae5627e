/**
 * @file key_json.cpp JSON form of the table rows key/SHARD/KEY, which hold
 * idempotency keys.
 */

#include "codec/key_json.h"

#include "codec/struct_decode_internal.h"

namespace bronze {

std::string EncodeKeyRow(const KeyRow& aRow) {
  return codec_internal::Write(aRow).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<KeyRow> DecodeKeyRow(std::string_view aText) {
  return codec_internal::DecodeStruct<KeyRow>(aText, "key row");
}

}  // namespace bronze
