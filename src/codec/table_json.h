/**
 * @file table_json.h JSON form of the calls of the table service.
 */

#ifndef BRONZE_CODEC_TABLE_JSON_H_
#define BRONZE_CODEC_TABLE_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/error/error_type.h"
#include "core/message/platform_type.h"

namespace bronze {

/** One page of a scan. */
struct TableScan {
  std::vector<TableRow> m_rows;
  bool m_more = false;  ///< Further pages follow.
};

[[nodiscard]] std::string EncodeTransaction(
    const TableTransaction& aTransaction);
[[nodiscard]] Result<TableTransaction> DecodeTransaction(
    std::string_view aText);

[[nodiscard]] std::string EncodeCommitResult(const TableCommitResult& aResult);
[[nodiscard]] Result<TableCommitResult> DecodeCommitResult(
    std::string_view aText);

/** A row of version 0 does not exist in the table. */
[[nodiscard]] std::string EncodeRow(const TableRow& aRow);
[[nodiscard]] Result<TableRow> DecodeRow(std::string_view aText);

[[nodiscard]] std::string EncodeScan(const TableScan& aScan);
[[nodiscard]] Result<TableScan> DecodeScan(std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_CODEC_TABLE_JSON_H_
