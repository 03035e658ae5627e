/**
 * @file commit_tries_func.cpp What is known of a commit after several tries.
 */

#include "core/sched/commit_tries_func.h"

namespace bronze::sched {

void BeginTry(CommitTries& aTries) {
  if (!aTries.m_settles) ++aTries.m_inDoubt;
}

CommitStep EndTry(CommitTries& aTries, TryEnd aEnd) {
  switch (aEnd) {
    case TryEnd::Stored:
    case TryEnd::OwnRow:
      return aTries.m_settles ? CommitStep::NotStored : CommitStep::Stored;
    case TryEnd::DoubtedRow:
      return CommitStep::Stored;
    case TryEnd::OtherRow:
      return CommitStep::Lost;
    case TryEnd::Unanswered:
      return CommitStep::Repeat;
    case TryEnd::Refused:
    case TryEnd::Rejected:
      break;
  }
  // Until the transaction that settles is stored, the doubt stays.
  if (aTries.m_settles) return CommitStep::Repeat;
  --aTries.m_inDoubt;
  if (aTries.m_inDoubt == 0) return CommitStep::NotStored;
  if (aEnd == TryEnd::Refused) return CommitStep::Repeat;
  aTries.m_settles = true;
  return CommitStep::Settle;
}

}  // namespace bronze::sched
