/**
 * @file failed_search_cmd.h Remembers searches that found no runner, so that
 * many steps that cannot be placed do not keep a pass from those that can.
 */

#ifndef BRONZE_CORE_SCHED_FAILED_SEARCH_CMD_H_
#define BRONZE_CORE_SCHED_FAILED_SEARCH_CMD_H_

#include <optional>

#include "core/sched/placement_func.h"

namespace bronze::sched {

/** What earlier searches tell about a step. */
struct KnownFailure {
  size_t m_seen = 0;  ///< Entries of Cell::m_roomChanges that were examined.
  /** No runner had room for one task, whatever the step's anti-affinity. */
  bool m_forKind = false;
};

/** @return the latest failed search for the step, or for a task of the same
 *          kind that is no larger. */
[[nodiscard]] std::optional<KnownFailure> FindFailedSearch(
    const Cell& aCell, const StepKey& aKey, const StepSpec& aStep,
    const ServiceId& aService, bool aHasSlack);

/** Records that no runner has room for a task of the query's step, beside those
 *  placed already. aBase is the failure that the search relied on. */
void NoteFailedSearch(Cell& aCell, const StepKey& aKey,
                      const PlacementQuery& aQuery,
                      const std::optional<KnownFailure>& aBase);

/** Records a failure that tells nothing about other steps. */
void NoteFailedStep(Cell& aCell, const StepKey& aKey);

/** Forgets all failed searches. */
void ForgetFailedSearches(Cell& aCell);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_FAILED_SEARCH_CMD_H_
