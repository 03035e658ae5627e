/**
 * @file coordination_json.cpp JSON form of the table rows epoch/REGION and
 * lease/VM.
 */

#include "codec/coordination_json.h"

#include "codec/struct_decode_internal.h"

namespace bronze {

std::string EncodeEpochRow(const EpochRow& aRow) {
  return codec_internal::Write(aRow).dump();
}

Result<EpochRow> DecodeEpochRow(std::string_view aText) {
  return codec_internal::DecodeStruct<EpochRow>(aText, "epoch row");
}

std::string EncodeLeaseRow(const LeaseRow& aRow) {
  return codec_internal::Write(aRow).dump();
}

Result<LeaseRow> DecodeLeaseRow(std::string_view aText) {
  return codec_internal::DecodeStruct<LeaseRow>(aText, "lease row");
}

}  // namespace bronze
