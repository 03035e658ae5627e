/**
 * @file table_func.cpp Simulated table service: versioned rows and
 * transactions.
 */

#include "standin/table_func.h"

#include <algorithm>

namespace bronze {

TableCommitResult CommitTransaction(TableStore& aStore,
                                    const TableTransaction& aTransaction) {
  TableCommitResult result;
  for (const TableCheck& check : aTransaction.m_checks) {
    if (ReadRow(aStore, check.m_key).m_version != check.m_version) {
      result.m_conflicts.push_back(check.m_key);
    }
  }
  if (!result.m_conflicts.empty()) return result;
  aStore.m_last = aStore.m_last.Next();
  for (const TableWrite& write : aTransaction.m_writes) {
    if (write.m_value) {
      aStore.m_rows[write.m_key] = {write.m_key, *write.m_value, aStore.m_last};
    } else {
      aStore.m_rows.erase(write.m_key);
    }
  }
  result.m_committed = true;
  result.m_version = aStore.m_last;
  return result;
}

TableRow ReadRow(const TableStore& aStore, const std::string& aKey) {
  const auto found = aStore.m_rows.find(aKey);
  return found == aStore.m_rows.end() ? TableRow{aKey, {}, RowVersion()}
                                      : found->second;
}

TablePage ScanRows(const TableStore& aStore, const std::string& aPrefix,
                   const std::string& aAfter, size_t aLimit) {
  TablePage page;
  auto row = aAfter < aPrefix ? aStore.m_rows.lower_bound(aPrefix)
                              : aStore.m_rows.upper_bound(aAfter);
  for (; row != aStore.m_rows.end() && row->first.starts_with(aPrefix); ++row) {
    if (page.m_rows.size() == aLimit) {
      page.m_more = true;
      break;
    }
    page.m_rows.push_back(row->second);
  }
  return page;
}

}  // namespace bronze
