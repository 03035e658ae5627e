/**
 * @file failed_search_type.h What is remembered of searches that found no
 * runner.
 */

#ifndef BRONZE_CORE_SCHED_FAILED_SEARCH_TYPE_H_
#define BRONZE_CORE_SCHED_FAILED_SEARCH_TYPE_H_

#include <map>
#include <string>
#include <vector>

#include "core/sched/job_type.h"

namespace bronze::sched {

/** Tasks that the same runners accept if they have room. */
struct SearchKind {
  ServiceId m_service;
  std::string m_label;  ///< Required label; empty: none.
  bool m_bestEffort = false;
  ImageIndex m_image;  ///< Set for best-effort tasks only.
  /** Of a best-effort task: it had slack. One without may find room where one
   *  with slack found none. */
  bool m_hasSlack = false;

  friend auto operator<=>(const SearchKind&, const SearchKind&) = default;
};

/** A search that found no runner for tasks that need this much or more. */
struct FailedSearch {
  Resources m_need;
  size_t m_seen = 0;  ///< Entries of Cell::m_roomChanges that were examined.
};

/** Searches that failed since the last full search. Until the next one, only
 *  runners whose room has changed since have to be examined. */
struct FailedSearches {
  /** Searches that failed for a reason which holds for each step of the kind;
   *  no entry covers another one of its kind. */
  std::map<SearchKind, std::vector<FailedSearch>> m_byKind;
  /** Searches in which anti-affinity, advice or the size of a gang counted,
   * with the entries of Cell::m_roomChanges that were examined. */
  std::map<StepKey, size_t> m_byStep;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_FAILED_SEARCH_TYPE_H_
