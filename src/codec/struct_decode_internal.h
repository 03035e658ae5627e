/**
 * @file struct_decode_internal.h Decodes the JSON text of a row to a struct.
 */

#ifndef BRONZE_CODEC_STRUCT_DECODE_INTERNAL_H_
#define BRONZE_CODEC_STRUCT_DECODE_INTERNAL_H_

#include <string>
#include <string_view>

#include "codec/bounded_json.h"
#include "codec/struct_json_internal.h"
#include "core/error/error_type.h"

namespace bronze::codec_internal {

/** @param aWhat name of the row, for error messages. */
template <class T>
Result<T> DecodeStruct(std::string_view aText, const char* aWhat) {
  const auto parsed = ParseBoundedJson(aText);
  if (!parsed) return parsed.error();
  try {
    T value;
    Read(parsed.value(), value);
    return value;
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::Internal,
                     std::string("malformed ") + aWhat + ": " + error.what());
  }
}

}  // namespace bronze::codec_internal

#endif  // BRONZE_CODEC_STRUCT_DECODE_INTERNAL_H_
