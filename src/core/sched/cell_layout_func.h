/**
 * @file cell_layout_func.h Finds the cell of a job or of a rack.
 */

#ifndef BRONZE_CORE_SCHED_CELL_LAYOUT_FUNC_H_
#define BRONZE_CORE_SCHED_CELL_LAYOUT_FUNC_H_

#include <cstddef>
#include <string_view>

#include "core/sched/cell_layout_type.h"
#include "core/sched/runner_type.h"

namespace bronze::sched {

/**
 * @return the cell that knows where the job is. It schedules the job itself
 *         unless it has stored a route to another cell (route_cmd.h).
 * @pre the layout is known.
 */
[[nodiscard]] CellId HomeCell(const CellLayout& aLayout, JobId aJob);

/**
 * @return the cell of all runners of the rack. Racks whose names differ only in
 *         the number at the end are dealt out in turn, so that cells have about
 *         the same number of them.
 */
[[nodiscard]] CellId CellOfRack(const CellLayout& aLayout,
                                std::string_view aRack);

/** @return the cell of the runner: that of its rack, which is its last label. A
 *          runner without labels is a rack of its own. */
[[nodiscard]] CellId CellOfRunner(const CellLayout& aLayout,
                                  const RunnerEntry& aRunner);

/** @return the number of cells for a deployment of this size; at least 1. */
[[nodiscard]] uint32_t CellsFor(size_t aRunners, size_t aRunnersPerCell);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CELL_LAYOUT_FUNC_H_
