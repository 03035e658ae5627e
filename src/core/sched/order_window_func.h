/**
 * @file order_window_func.h Adapts the limit on pending starts to the time that
 * runners take to answer.
 */

#ifndef BRONZE_CORE_SCHED_ORDER_WINDOW_FUNC_H_
#define BRONZE_CORE_SCHED_ORDER_WINDOW_FUNC_H_

#include "core/sched/order_window_type.h"

namespace bronze::sched {

/** Whether one more task may be placed. */
[[nodiscard]] bool HasRoom(const OrderWindow& aWindow);

/** A start was answered aTook after it was ordered, or counts as unanswered
 *  since then. */
void NoteAnswer(OrderWindow& aWindow, Duration aTook, TimePoint aNow);

/** @return the least time between two renewals of one runner's lease. It is
 *          zero while answers are quick; on a congested VM the reports of ends
 *          are gathered, as each costs a list of all runs. */
[[nodiscard]] Duration RenewalSpacing(const OrderWindow& aWindow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_ORDER_WINDOW_FUNC_H_
