/**
 * @file call_fate_func.h What is known of a change that a caller asked for,
 * after several attempts to have an owner make it.
 */

#ifndef BRONZE_CORE_SCHED_CALL_FATE_FUNC_H_
#define BRONZE_CORE_SCHED_CALL_FATE_FUNC_H_

#include "core/error/error_type.h"

namespace bronze::sched {

/** All attempts to make one change, as far as they have ended. */
struct CallFate {
  /** An attempt may have made the change. This stays set: the refusal of a
   *  later attempt tells nothing about an earlier one. While it is set, the
   *  caller must not be told that nothing was done. */
  bool m_mayBeDone = false;
};

/** An attempt has ended with aError. */
void NoteFailedAttempt(CallFate& aFate, const Error& aError);

/** @return the error to report after a last attempt that ended with aLast. */
[[nodiscard]] Error FinalError(const CallFate& aFate, Error aLast);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CALL_FATE_FUNC_H_
