/**
 * @file kind_func.h Measured run time and class of each request kind.
 */

#ifndef BRONZE_CORE_REQUEST_KIND_FUNC_H_
#define BRONZE_CORE_REQUEST_KIND_FUNC_H_

#include "core/request/request_base.h"

namespace bronze {

/** @return the measured class of a kind; until known, the configured one. */
[[nodiscard]] KindClass ClassOf(const RequestState& aState,
                                const KindId& aKind);

/** @return the measured mean run time; until known, the configured one. */
[[nodiscard]] Duration ExpectedRun(const RequestState& aState,
                                   const KindId& aKind);

/**
 * Adds the run time of one attempt to the statistics of its kind.
 * @param aCompleted false if the attempt was closed at its deadline. Its run
 * time is then a lower bound and changes the mean only when it is above it.
 */
void NoteRunTime(RequestState& aState, const KindId& aKind, Duration aRunTime,
                 bool aCompleted);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_KIND_FUNC_H_
