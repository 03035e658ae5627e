/**
 * @file evacuation_cmd.h Data centres that the operators evacuate: nothing is
 * started there until the request is withdrawn.
 *
 * Runs that exist when the request arrives go on, with their leases, reports
 * and stops. A run that was decided but not sent is requeued.
 */

#ifndef BRONZE_CORE_SCHED_EVACUATION_CMD_H_
#define BRONZE_CORE_SCHED_EVACUATION_CMD_H_

#include <vector>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** Replaces the data centres under evacuation. Runners of those that are taken
 *  back may get tasks again at once. */
void SetEvacuations(Cell& aCell, std::set<DataCentreId> aDataCentres);

/** Whether the runner is in a data centre under evacuation. */
[[nodiscard]] bool IsUnderEvacuation(const Cell& aCell,
                                     const RunnerEntry& aEntry);

/** What a cell still has in a data centre under evacuation. */
struct EvacuationProgress {
  DataCentreId m_dataCentre;
  uint32_t m_runners = 0;  ///< Listed ones.
  uint32_t m_tasks = 0;    ///< Tasks that hold room there.
};

/** @return one entry for each data centre under evacuation. */
[[nodiscard]] std::vector<EvacuationProgress> EvacuationsOf(const Cell& aCell);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_EVACUATION_CMD_H_
