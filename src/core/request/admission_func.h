/**
 * @file admission_func.h Admission control for arriving requests.
 */

#ifndef BRONZE_CORE_REQUEST_ADMISSION_FUNC_H_
#define BRONZE_CORE_REQUEST_ADMISSION_FUNC_H_

#include "core/request/request_base.h"

namespace bronze {

/**
 * Checks an arrival against the settings, the queue limits, the expected wait
 * and whether this VM is draining. Changes nothing, so a dry run can use it.
 * @return the settings of the request's kind.
 */
[[nodiscard]] Result<KindSettings> CheckAdmission(const RequestState& aState,
                                                  const Arrival& aArrival,
                                                  TimePoint aNow);

/**
 * Records the dispatch of a probe: a request whose expected run time exceeds
 * its window, admitted to find out whether its kind has become faster. Probes
 * are admitted once per second at first, then at doubled intervals.
 */
void NoteProbe(RequestState& aState, const PendingRequest& aPending,
               TimePoint aNow);

/** @return the caller's window or the default, at most the longest window. */
[[nodiscard]] Duration WindowOf(const RequestSettings& aSettings,
                                const Arrival& aArrival);

/** @return the expected wait for a slot of a new request of the class. */
[[nodiscard]] Duration ExpectedWait(const RequestState& aState,
                                    KindClass aClass);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_ADMISSION_FUNC_H_
