/**
 * @file table_func.h Simulated table service: versioned rows and transactions.
 */

#ifndef BRONZE_STANDIN_TABLE_FUNC_H_
#define BRONZE_STANDIN_TABLE_FUNC_H_

#include <map>
#include <string>
#include <vector>

#include "core/message/platform_type.h"

namespace bronze {

struct TableStore {
  std::map<std::string, TableRow> m_rows;
  RowVersion m_last;  ///< Version of the latest transaction, over all rows.
};

/** One page of a scan, sorted by key. */
struct TablePage {
  std::vector<TableRow> m_rows;
  bool m_more = false;  ///< Further rows match.
};

/** Applies all writes if all checks hold; otherwise changes nothing. */
[[nodiscard]] TableCommitResult CommitTransaction(
    TableStore& aStore, const TableTransaction& aTransaction);

/** @return the row; if there is none, the key without a value, version 0. */
[[nodiscard]] TableRow ReadRow(const TableStore& aStore,
                               const std::string& aKey);

/** @return at most aLimit rows whose keys start with aPrefix and are greater
 * than aAfter. */
[[nodiscard]] TablePage ScanRows(const TableStore& aStore,
                                 const std::string& aPrefix,
                                 const std::string& aAfter, size_t aLimit);

}  // namespace bronze

#endif  // BRONZE_STANDIN_TABLE_FUNC_H_
