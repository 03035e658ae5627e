/**
 * @file table_json.cpp JSON form of the calls of the table service.
 */

#include "codec/table_json.h"

#include "codec/bounded_json.h"

namespace bronze {

using nlohmann::json;

namespace {

// Larger than the limit of other messages, as a scan returns many rows.
constexpr size_t kMaxTableMessageBytes = size_t{16} << 20;

json RowToJson(const TableRow& aRow) {
  json row = {{"key", aRow.m_key}, {"version", aRow.m_version.Value()}};
  if (aRow.m_version == RowVersion()) {
    row["value"] = nullptr;
  } else {
    row["value"] = aRow.m_value;
  }
  return row;
}

TableRow RowFromJson(const json& aJson) {
  TableRow row;
  row.m_key = aJson.at("key").get<std::string>();
  row.m_version = RowVersion(aJson.at("version").get<uint64_t>());
  const json& value = aJson.at("value");
  if (!value.is_null()) row.m_value = value.get<std::string>();
  return row;
}

/** Parses the text and converts it; an exception becomes an Error. */
template <class T, class Convert>
Result<T> Decode(std::string_view aText, Convert aConvert) {
  auto parsed = ParseBoundedJson(aText, kMaxTableMessageBytes);
  if (!parsed) return parsed.error();
  try {
    return aConvert(parsed.value());
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadRequest,
                     std::string("malformed table message: ") + error.what());
  }
}

}  // namespace

std::string EncodeTransaction(const TableTransaction& aTransaction) {
  json checks = json::array();
  for (const TableCheck& check : aTransaction.m_checks) {
    checks.push_back(
        {{"key", check.m_key}, {"version", check.m_version.Value()}});
  }
  json writes = json::array();
  for (const TableWrite& write : aTransaction.m_writes) {
    json item = {{"key", write.m_key}, {"value", nullptr}};
    if (write.m_value) item["value"] = *write.m_value;
    writes.push_back(std::move(item));
  }
  return json{{"checks", std::move(checks)}, {"writes", std::move(writes)}}
      .dump();
}

Result<TableTransaction> DecodeTransaction(std::string_view aText) {
  return Decode<TableTransaction>(aText, [](const json& aJson) {
    TableTransaction transaction;
    for (const json& item : aJson.at("checks")) {
      transaction.m_checks.push_back(
          {item.at("key").get<std::string>(),
           RowVersion(item.at("version").get<uint64_t>())});
    }
    for (const json& item : aJson.at("writes")) {
      TableWrite write{item.at("key").get<std::string>(), std::nullopt};
      if (!item.at("value").is_null()) {
        write.m_value = item.at("value").get<std::string>();
      }
      transaction.m_writes.push_back(std::move(write));
    }
    return transaction;
  });
}

std::string EncodeCommitResult(const TableCommitResult& aResult) {
  if (!aResult.m_committed) {
    return json{{"committed", false}, {"conflicts", aResult.m_conflicts}}
        .dump();
  }
  return json{{"committed", true}, {"version", aResult.m_version.Value()}}
      .dump();
}

Result<TableCommitResult> DecodeCommitResult(std::string_view aText) {
  return Decode<TableCommitResult>(aText, [](const json& aJson) {
    TableCommitResult result;
    result.m_committed = aJson.at("committed").get<bool>();
    if (result.m_committed) {
      result.m_version = RowVersion(aJson.at("version").get<uint64_t>());
    } else {
      result.m_conflicts =
          aJson.at("conflicts").get<std::vector<std::string>>();
    }
    return result;
  });
}

std::string EncodeRow(const TableRow& aRow) { return RowToJson(aRow).dump(); }

Result<TableRow> DecodeRow(std::string_view aText) {
  return Decode<TableRow>(aText, RowFromJson);
}

std::string EncodeScan(const TableScan& aScan) {
  json rows = json::array();
  for (const TableRow& row : aScan.m_rows) rows.push_back(RowToJson(row));
  return json{{"rows", std::move(rows)}, {"more", aScan.m_more}}.dump();
}

Result<TableScan> DecodeScan(std::string_view aText) {
  return Decode<TableScan>(aText, [](const json& aJson) {
    TableScan scan;
    for (const json& row : aJson.at("rows")) {
      scan.m_rows.push_back(RowFromJson(row));
    }
    scan.m_more = aJson.at("more").get<bool>();
    return scan;
  });
}

}  // namespace bronze
