/**
 * @file handover_func.h Decides when a VM asks for a cell that a much smaller
 * VM owns, and when that owner hands the cell over.
 */

#ifndef BRONZE_CORE_SCHED_HANDOVER_FUNC_H_
#define BRONZE_CORE_SCHED_HANDOVER_FUNC_H_

#include <string_view>

#include "core/sched/claim_type.h"

namespace bronze::sched {

/** Whether this VM asks the owner for the cell now. */
[[nodiscard]] bool ShouldAsk(const AskView& aView, TimePoint aNow);

/** @return the time before which this VM does not ask again.
 *  @param aAnswered whether the owner has answered. */
[[nodiscard]] TimePoint NextAskTime(bool aAnswered, TimePoint aNow);

/** Decides on a request for the cell that this VM owns. */
[[nodiscard]] HandoverAnswer DecideHandover(const HandoverView& aView,
                                            const HandoverRequest& aRequest,
                                            TimePoint aNow);

/** @return the name for log lines and metrics. */
[[nodiscard]] std::string_view NameOf(HandoverAnswer aAnswer);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_HANDOVER_FUNC_H_
