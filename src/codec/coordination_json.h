/**
 * @file coordination_json.h JSON form of the table rows epoch/REGION and
 * lease/VM.
 */

#ifndef BRONZE_CODEC_COORDINATION_JSON_H_
#define BRONZE_CODEC_COORDINATION_JSON_H_

#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "core/message/epoch_type.h"

namespace bronze {

[[nodiscard]] std::string EncodeEpochRow(const EpochRow& aRow);
[[nodiscard]] Result<EpochRow> DecodeEpochRow(std::string_view aText);

[[nodiscard]] std::string EncodeLeaseRow(const LeaseRow& aRow);
[[nodiscard]] Result<LeaseRow> DecodeLeaseRow(std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_CODEC_COORDINATION_JSON_H_
