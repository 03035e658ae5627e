/**
 * @file placement_func.h Choice of a rack and of a worker for a task.
 */

#ifndef BRONZE_CORE_BATCH_PLACEMENT_FUNC_H_
#define BRONZE_CORE_BATCH_PLACEMENT_FUNC_H_

#include <optional>
#include <random>
#include <span>

#include "core/batch/worker_type.h"
#include "core/config/settings_type.h"
#include "core/message/peer_message_type.h"

namespace bronze {

/** Needs of a task to be placed on a worker. */
struct PlacementRequest {
  Resources m_need;
  WorkerId m_avoid;  ///< Worker on which the task has failed, if any.
};

/** @return the part of aTotal that batch tasks may reserve. */
[[nodiscard]] Resources BatchLimit(const Resources& aTotal,
                                   int64_t aSharePercent);

/**
 * @return whether the worker can take the task now: it is live, not draining,
 *         not in quarantine, reachable, and has enough free capacity.
 */
[[nodiscard]] bool CanPlace(const Worker& aWorker,
                            const PlacementRequest& aRequest);

/**
 * Rates a worker for a task by best fit. Imbalance between free cores and free
 * memory, accelerators that would stay idle, the expected slowdown of services
 * and earlier failures add penalties.
 * @param aSlowdown expected slowdown factor of the worker's services; 1.0
 *        means none.
 * @return a score; lower is better.
 */
[[nodiscard]] double PlacementScore(const Worker& aWorker,
                                    const PlacementRequest& aRequest,
                                    double aSlowdown);

/**
 * Chooses a rack by aPolicy; Sampled is the power of two choices.
 * @return the index of a rack whose largest free worker capacity fits aNeed;
 *         not set if there is none.
 */
[[nodiscard]] std::optional<size_t> ChooseRack(
    std::span<const RackSummary> aRacks, const Resources& aNeed,
    PlacePolicy aPolicy, std::minstd_rand& aRandom);

/**
 * @return how many times aNeed fits the free capacity of the rack, a quarter of
 *         that if the rack has free accelerators that aNeed does not use.
 */
[[nodiscard]] double RackHeadroom(const RackSummary& aRack,
                                  const Resources& aNeed);

/** The task size closest to a need that some empty worker can hold. */
struct NearestSize {
  bool m_fits = false;  ///< The need itself fits.
  Resources m_size;
};

/** @param aLimits what empty workers can hold of batch tasks. */
[[nodiscard]] NearestSize FindNearestSize(std::span<const Resources> aLimits,
                                          const Resources& aNeed);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_PLACEMENT_FUNC_H_
