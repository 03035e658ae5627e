/**
 * @file placement_func.h Chooses the runner for a task. The score is a free
 * function over the runner's state, so that policies can be compared.
 */

#ifndef BRONZE_CORE_SCHED_PLACEMENT_FUNC_H_
#define BRONZE_CORE_SCHED_PLACEMENT_FUNC_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** Whether the runner is listed, stays and is not under evacuation. */
[[nodiscard]] bool IsOpen(const Runner& aRunner);

/** Whether a run may be started on the runner of that pool: it is open and
 *  answers, and all of its runs are known. */
[[nodiscard]] bool IsReachable(const Runner& aRunner, const ServiceId& aService,
                               TimePoint aNow);

/** Whether new work may go to the runner: IsReachable and not in quarantine. */
[[nodiscard]] bool IsUsable(const Runner& aRunner, const ServiceId& aService,
                            TimePoint aNow);

/** Whether a best-effort task of the step that begins or goes on now can wait
 *  without being late: it yields more to latency-critical tasks. */
[[nodiscard]] bool HasSlack(const StepSpec& aStep, TimePoint aDue,
                            TimePoint aNow);

/** @return the capacity that no task holds. */
[[nodiscard]] Resources FreeRoom(const Runner& aRunner);

/** @return what a task of the step takes from its runner's capacity. */
[[nodiscard]] Resources TakenBy(const StepSpec& aStep);

/** Whether the step's tasks fit beside the reserved resources. */
[[nodiscard]] bool HasRoom(const Runner& aRunner, const StepSpec& aStep);

/** @return a score for comparison; the highest is the best runner. */
[[nodiscard]] double Score(const CellSettings& aSettings, const Runner& aRunner,
                           const StepSpec& aStep);

/** Predicted effect of a best-effort task on the latency-critical tasks of a
 *  runner. */
struct BestEffortImpact {
  double m_added = 0.0;  ///< Largest load added to one of them.
  /** Smallest load left below the limit of a task that is affected. */
  double m_headroom = 1.0;
};

[[nodiscard]] BestEffortImpact PredictImpact(const Cell& aCell,
                                             const Runner& aRunner,
                                             const StepSpec& aStep);

/** Reasons why a search rejected runners; each runner counts once, for its
 *  first reason. */
struct PlacementTally {
  /** Not listed, draining, under evacuation, unresponsive, in quarantine, or
   *  with unknown runs. */
  uint32_t m_unusable = 0;
  /** On probation after a quarantine, with its one task. */
  uint32_t m_probed = 0;
  /** Too little capacity left for the declared resources. */
  uint32_t m_full = 0;
  uint32_t m_busy = 0;  ///< Too few unused cores for a best-effort task.
  /** A latency-critical task would get too close to its target. */
  uint32_t m_overTarget = 0;
  uint32_t m_unfit = 0;  ///< The label does not match.
  /** Anti-affinity or a missing approval excludes it for this step, although it
   *  has room. */
  uint32_t m_excluded = 0;
};

/** What the runners of a pool have left, for the log line about a task that
 *  finds no runner. */
struct RoomSummary {
  PlacementTally m_tally;       ///< Over all runners of the cell.
  uint32_t m_accepting = 0;     ///< Runners that would take the task.
  uint32_t m_fewCores = 0;      ///< Usable runners with too few free cores.
  uint32_t m_littleMemory = 0;  ///< Usable runners with too little free memory.
  Resources m_free;             ///< Sum over the usable runners.
  /** The most that one usable runner has free; each amount may be another
   *  runner's. */
  Resources m_mostFree;
  Mebibytes m_bestEffortMemory;   ///< Held on the usable runners.
  Millicores m_longRunningCores;  ///< Held on the usable runners.
};

/** Declared cores of the long-running tasks on a rack, and its capacity. */
struct RackLoad {
  Millicores m_longRunningDemand;
  Millicores m_capacity;
};
using RackLoads = std::map<std::string, RackLoad>;

/** @return the load of each rack, over the pool's listed runners. */
[[nodiscard]] RackLoads LoadsOfRacks(const Cell& aCell,
                                     const ServiceId& aService);

/** Input of one search for a runner. */
struct PlacementQuery {
  const StepSpec* m_step = nullptr;
  ServiceId m_service;
  RunnerIndex m_avoid;  ///< Chosen only if no other runner has room.
  std::string m_rack;   ///< Preferred rack; empty: any.
  /** Number of tasks of the same step on a runner, for anti-affinity. */
  std::function<uint32_t(RunnerIndex)> m_sameStep;
  /** Whether the queue's policy allows the runner; empty: all are allowed. */
  std::function<bool(RunnerIndex)> m_isApproved;
  bool m_hasSlack = false;  ///< HasSlack, for best-effort tasks.
  /** Runners in quarantine or on probation are examined like all others. */
  bool m_acceptsQuarantined = false;
  PlacementTally* m_tally = nullptr;  ///< Output, if set.
  /** If set, only the runners in m_roomChanges from this index on are examined;
   *  no other has room. */
  std::optional<size_t> m_changesFrom;
  /** Set for long-running tasks: racks with a lower load are preferred, so
   *  that each rack keeps room for tasks whose data is there. */
  const RackLoads* m_rackLoads = nullptr;
};

/** Whether the step's label and anti-affinity and the queue's policy allow the
 *  runner. */
[[nodiscard]] bool MeetsConstraints(const PlacementQuery& aQuery,
                                    const Runner& aRunner, RunnerIndex aIndex);

/** Examines all runners for the query, whatever is known from earlier
 *  searches. */
[[nodiscard]] RoomSummary SummarizeRoom(const Cell& aCell,
                                        const PlacementQuery& aQuery,
                                        TimePoint aNow);

/** @return how many tasks of the step the runners have room for, but no more
 *          than aWanted. For best-effort tasks it is an upper bound, as their
 *          effect on others grows with each one. */
[[nodiscard]] uint32_t CountPlaces(const Cell& aCell,
                                   const PlacementQuery& aQuery,
                                   uint32_t aWanted, TimePoint aNow);

/** @return the best runner; invalid if none has room. */
[[nodiscard]] RunnerIndex ChooseRunner(const Cell& aCell,
                                       const PlacementQuery& aQuery,
                                       TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PLACEMENT_FUNC_H_
