/**
 * @file move_cmd.h Moves jobs that wait in a full cell to one that has room.
 *
 * A move begins with a commit after which this cell places nothing of the job.
 * Then the job is sent to the other cell until that one has stored it. At last
 * the job is replaced by a route, so that callers find it. Only tasks that
 * never had a run move, so no late end of a run can concern them.
 */

#ifndef BRONZE_CORE_SCHED_MOVE_CMD_H_
#define BRONZE_CORE_SCHED_MOVE_CMD_H_

#include <vector>

#include "core/error/error_type.h"
#include "core/sched/cell_layout_type.h"
#include "core/sched/commit_cmd.h"
#include "core/sched/job_cmd.h"

namespace bronze::sched {

/**
 * Begins to move jobs whose tasks have waited for a time, each to the cell with
 * the least load for it.
 * @param aLoads by cell; updated for the jobs that move.
 * @return the number of jobs that move.
 */
size_t BeginMoves(Cell& aCell, CellId aOwn, std::vector<CellLoad>& aLoads,
                  TimePoint aNow);

/** A job on its way to another cell. */
struct MovingJob {
  JobId m_job;
  CellId m_target;
  uint32_t m_moveCount = 0;  ///< Tells the moves of one job apart.
};

/** @return the jobs to be sent now: those whose move is durable, and that were
 *          not returned for a time. */
[[nodiscard]] std::vector<MovingJob> TakeMovesToSend(Cell& aCell,
                                                     TimePoint aNow);

/** @return the job's state as it is sent to the other cell. */
[[nodiscard]] StoredState MovingStateOf(const Cell& aCell, const Job& aJob);

/** The other cell has stored the job: replaces it by a route. An answer to an
 *  earlier move of the job changes nothing. */
void CompleteMove(Cell& aCell, const MovingJob& aMove, TimePoint aNow);

/**
 * Takes over a job from another cell. If it has arrived before, nothing
 * changes, also if it has been moved on since.
 * @return the version to wait for.
 */
[[nodiscard]] Result<DurableVersion> AdoptJob(Cell& aCell, JobSpec aSpec,
                                              const StoredState& aState,
                                              TimePoint aNow,
                                              UnixMillis aUnixNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_MOVE_CMD_H_
