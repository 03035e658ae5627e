/**
 * @file unresponsive_runner_cmd.h Stored lease ends of unresponsive runners.
 *
 * A new owner does not know the lease of a runner that it cannot reach, and
 * would have to wait for the longest possible lease after its takeover. So the
 * owner stores when the lease of each unresponsive runner ends, and orders no
 * later lease end for such a runner until a row without it is durable.
 */

#ifndef BRONZE_CORE_SCHED_UNRESPONSIVE_RUNNER_CMD_H_
#define BRONZE_CORE_SCHED_UNRESPONSIVE_RUNNER_CMD_H_

#include <vector>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** A runner that does not answer, and when all its runs have ended. */
struct UnresponsiveRunner {
  RunnerId m_runner;
  TimePoint m_lapsesAt;
};

/** Requests a commit if the unresponsive runners differ from the stored ones.
 */
void CheckUnresponsive(Cell& aCell, TimePoint aNow);

/** @return the unresponsive runners to store; their leases are not extended
 *  from now on. */
[[nodiscard]] std::vector<UnresponsiveRunner> TakeUnresponsiveRunners(
    Cell& aCell, TimePoint aNow);

/** Exactly aStored is durable now: the leases of all other runners may be
 *  extended again. */
void ApplyStoredUnresponsive(Cell& aCell,
                             const std::vector<UnresponsiveRunner>& aStored);

/** Restores an entry that an earlier owner stored, after BeginTerm. */
void RestoreUnresponsiveRunner(Cell& aCell, const UnresponsiveRunner& aStored);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_UNRESPONSIVE_RUNNER_CMD_H_
