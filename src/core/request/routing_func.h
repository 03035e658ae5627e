/**
 * @file routing_func.h Choice of the runner for a request.
 */

#ifndef BRONZE_CORE_REQUEST_ROUTING_FUNC_H_
#define BRONZE_CORE_REQUEST_ROUTING_FUNC_H_

#include "core/request/request_base.h"

namespace bronze {

/**
 * @return a runner with a free slot, chosen by the configured policy, or
 * nothing if there is none. The runner of the last failed attempt is chosen
 * only if no other one has a free slot.
 */
[[nodiscard]] std::optional<RunnerIndex> ChooseRunner(
    RequestState& aState, const PendingRequest& aPending, TimePoint aNow);

/**
 * @return a runner for a standing request, such as a watch, which keeps its
 * connection open and needs no slot.
 */
[[nodiscard]] std::optional<RunnerIndex> ChooseStandingRunner(
    RequestState& aState, const PendingRequest& aPending, TimePoint aNow);

/** Whether another long request leaves the slots reserved for short ones. */
[[nodiscard]] bool MayStartLong(const RequestState& aState);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_ROUTING_FUNC_H_
