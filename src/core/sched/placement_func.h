/**
 * @file placement_func.h Chooses the runner for a task. The score is a free
 * function over the runner's state, so that policies can be compared.
 */

#ifndef BRONZE_CORE_SCHED_PLACEMENT_FUNC_H_
#define BRONZE_CORE_SCHED_PLACEMENT_FUNC_H_

#include <functional>
#include <map>
#include <string>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** Whether new work may go to the runner at all. */
[[nodiscard]] bool IsUsable(const Runner& aRunner, const ServiceId& aService,
                            TimePoint aNow);

/** Whether the task's need fits beside what is reserved there. */
[[nodiscard]] bool HasRoom(const Runner& aRunner, const StepSpec& aStep);

/** @return a figure to compare runners by; the highest is the best place. */
[[nodiscard]] double Score(const CellSettings& aSettings, const Runner& aRunner,
                           const StepSpec& aStep);

/** What a task that fills would do to the serving tasks of a runner. */
struct FillEffect {
  double m_added = 0.0;     ///< Largest load added to one of them.
  double m_headroom = 1.0;  ///< Least load left below a limit, if harmed.
};

[[nodiscard]] FillEffect PredictFill(const Cell& aCell, const Runner& aRunner,
                                     const StepSpec& aStep);

/** Why runners were left out of one search; each counts at its first reason. */
struct PlacementTally {
  uint32_t m_unusable = 0;  ///< Not listed, draining, silent, in quarantine.
  uint32_t m_probed = 0;    ///< On probation with one task.
  uint32_t m_full = 0;      ///< No room for the declared need.
  uint32_t m_busy = 0;      ///< No unused cores for a fill.
  uint32_t m_harmed = 0;    ///< A serving task would exceed its target.
  uint32_t m_unfit = 0;     ///< Label or anti-affinity.
};

/** Declared cores of the tasks that last on a rack, and its capacity. */
struct RackLoad {
  Millicores m_serving;
  Millicores m_capacity;
};
using RackLoads = std::map<std::string, RackLoad>;

/** @return the load of each rack over its listed runners of the pool. */
[[nodiscard]] RackLoads LoadsOfRacks(const Cell& aCell,
                                     const ServiceId& aService);

/** What one search needs beside the runners. */
struct PlacementQuery {
  const StepSpec* m_step = nullptr;
  ServiceId m_service;
  RunnerIndex m_avoid;  ///< Taken only if nothing else has room.
  std::string m_rack;   ///< Preferred rack; empty: any.
  /** Tasks of the same step on that runner, for anti-affinity. */
  std::function<uint32_t(RunnerIndex)> m_sameStep;
  /** Whether the queue's policy allows the runner; empty: it allows all. */
  std::function<bool(RunnerIndex)> m_isApproved;
  PlacementTally* m_tally = nullptr;  ///< Filled if it is set.
  /** Set for tasks that last: racks with a lower load are preferred, so that
   *  each keeps room for tasks whose data is there. */
  const RackLoads* m_rackLoads = nullptr;
};

/** Whether the step's label and anti-affinity allow the runner. */
[[nodiscard]] bool Suits(const PlacementQuery& aQuery, const Runner& aRunner,
                         RunnerIndex aIndex);

/** @return the best runner; invalid when none has room. */
[[nodiscard]] RunnerIndex ChooseRunner(const Cell& aCell,
                                       const PlacementQuery& aQuery,
                                       TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PLACEMENT_FUNC_H_
