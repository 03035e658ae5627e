/**
 * @file place_step_cmd.h Chooses runners for the waiting tasks of one step of
 * the queue.
 */

#ifndef BRONZE_CORE_SCHED_PLACE_STEP_CMD_H_
#define BRONZE_CORE_SCHED_PLACE_STEP_CMD_H_

#include <optional>

#include "core/sched/cell_base.h"

namespace bronze::sched {

enum class StepResult : uint8_t { AllPlaced, SomeLeft, NonePlaced };

/** Work of a pass, or the most that it may do. */
struct PassWork {
  /** Searches of all runners that placed nothing. */
  uint32_t m_searches = 0;
  /** Steps examined; each runner examined in a partial search counts as one. */
  size_t m_steps = 0;
};

/** State of one pass over the queue. */
struct Pass {
  PassWork m_work;
  /** Cores of the pool's usable runners and of the long-running tasks there,
   * for LeavesShortReserve; computed when they are first needed. */
  std::optional<ServiceId> m_reserveService;
  double m_capacity = 0.0;
  double m_longRunning = 0.0;
};

/** Places the step's tasks in TaskPhase::Ready, as far as runners have room,
 * the order window is not full and no rule holds them back. It does not change
 * the queue. */
StepResult PlaceStep(Cell& aCell, const QueueKey& aKey, Pass& aPass,
                     TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PLACE_STEP_CMD_H_
