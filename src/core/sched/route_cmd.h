/**
 * @file route_cmd.h Which cell schedules a job.
 *
 * A job's home cell follows from its id, so that any VM finds it. The home
 * schedules the job, or stores a route to another cell that has more room, has
 * the rack of its data or the kind of runner that it requires. A route is
 * durable before the job goes there and never changes, so that a job that is
 * submitted again reaches the same cell.
 */

#ifndef BRONZE_CORE_SCHED_ROUTE_CMD_H_
#define BRONZE_CORE_SCHED_ROUTE_CMD_H_

#include <optional>
#include <vector>

#include "core/sched/cell_base.h"
#include "core/sched/cell_layout_type.h"
#include "core/sched/commit_cmd.h"

namespace bronze::sched {

/** @return the load of the cell as of now. */
[[nodiscard]] CellLoad LoadOf(const Cell& aCell);

/** Adds the job to a load that was published before it was sent there. */
void AddJob(CellLoad& aLoad, const JobSpec& aSpec);

/** Undoes AddJob. */
void SubtractJob(CellLoad& aLoad, const JobSpec& aSpec);

/** @return the other cell with the least load that competes with the job, if it
 *          is less than that of aOwn by more than aMinGain thousandths. */
[[nodiscard]] std::optional<CellId> LeastLoadedCell(
    CellId aOwn, const std::vector<CellLoad>& aLoads, const JobSpec& aSpec,
    uint32_t aMinGain);

/**
 * @param aOwn the job's home.
 * @param aLoads by cell, as last published; its size is the number of cells.
 * @return the cell that should schedule the job.
 */
[[nodiscard]] CellId ChooseCell(CellId aOwn,
                                const std::vector<CellLoad>& aLoads,
                                const JobSpec& aSpec);

/** Routes a job that the cell does not know to another cell; the next commit
 *  stores the route. */
void RouteJob(Cell& aCell, JobId aJob, CellId aTarget, TimePoint aNow);

/** @return the route of the job if it is durable. */
[[nodiscard]] std::optional<CellId> StoredRouteOf(const Cell& aCell,
                                                  JobId aJob);

/** Restores a stored route at a takeover. */
void RestoreRoute(Cell& aCell, const StoredRoute& aRoute, TimePoint aNow);

/** @return a durable route that is older than the retention time of ended jobs
 *          and has not been returned for that time. Its cell may have removed
 *          the job, which then needs no route any more. */
[[nodiscard]] std::optional<StoredRoute> NextRouteToCheck(Cell& aCell,
                                                          TimePoint aNow);

/** The routed cell does not know the job any more: deletes the route. */
void RemoveRoute(Cell& aCell, JobId aJob);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_ROUTE_CMD_H_
