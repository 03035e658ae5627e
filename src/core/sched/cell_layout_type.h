/**
 * @file cell_layout_type.h How runners and jobs are divided into cells, and how
 * loaded each cell is.
 */

#ifndef BRONZE_CORE_SCHED_CELL_LAYOUT_TYPE_H_
#define BRONZE_CORE_SCHED_CELL_LAYOUT_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/id_type.h"

namespace bronze::sched {

/**
 * The division of a deployment. It is stored once, by the first VM, and does
 * not change: which cell a rack belongs to and where a job is looked up follow
 * from it on each VM without any message.
 */
struct CellLayout {
  uint32_t m_cells = 0;  ///< 0: not known yet.

  friend bool operator==(const CellLayout&, const CellLayout&) = default;
};

/** Load of a cell as its owner publishes it, in thousandths of the cores of its
 *  runners. Waiting tasks count, so a value may exceed 1000. */
struct CellLoad {
  uint32_t m_longRunning = 0;
  uint32_t m_short =
      0;  ///< Tasks that are neither long-running nor best-effort.
  uint32_t m_bestEffort = 0;
  uint64_t m_cores = 0;  ///< Cores of the usable runners; 0: none.
  /** Labels of the runners, sorted: their kinds and racks. */
  std::vector<std::string> m_kinds;

  friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CELL_LAYOUT_TYPE_H_
