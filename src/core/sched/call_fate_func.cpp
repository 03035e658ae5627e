/**
 * @file call_fate_func.cpp What is known of a change after several attempts.
 */

#include "core/sched/call_fate_func.h"

#include "core/error/error_func.h"

namespace bronze::sched {

void NoteFailedAttempt(CallFate& aFate, const Error& aError) {
  if (AnswerFor(aError.m_kind).m_runState != RunState::NotRun) {
    aFate.m_mayBeDone = true;
  }
}

Error FinalError(const CallFate& aFate, Error aLast) {
  // An owner that does not know the job has read all rows of its cell since the
  // earlier attempts.
  const bool settles = aLast.m_kind == ErrorKind::UnknownJob;
  if (!aFate.m_mayBeDone || settles) return aLast;
  return MakeError(ErrorKind::OutcomeUnknown,
                   "an earlier attempt may have succeeded; the last one: " +
                       aLast.m_message);
}

}  // namespace bronze::sched
