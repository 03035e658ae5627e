/**
 * @file open_stop_func.h Runs that a cell stops and that are not known to have
 * ended yet.
 */

#ifndef BRONZE_CORE_SCHED_OPEN_STOP_FUNC_H_
#define BRONZE_CORE_SCHED_OPEN_STOP_FUNC_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

struct OpenStops {
  uint32_t m_count = 0;
  Duration m_longest = Duration::zero();  ///< Age of the oldest.
};

/** @return the runs in Stopping or StartUnanswered, and the superseded ones. A
 *  run that ends as the protocol asks stays for well under a second, so a
 *  higher age shows a runner that does not answer or does not obey. */
[[nodiscard]] OpenStops OpenStopsOf(const Cell& aCell, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_OPEN_STOP_FUNC_H_
