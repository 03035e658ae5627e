/**
 * @file retry_func.h Retry rules and retry budget.
 */

#ifndef BRONZE_CORE_REQUEST_RETRY_FUNC_H_
#define BRONZE_CORE_REQUEST_RETRY_FUNC_H_

#include "core/metrics/counter_type.h"
#include "core/request/request_base.h"

namespace bronze {

/** What may follow after an attempt has ended. */
enum class RetryRule : uint8_t {
  Deliver,           ///< Deliver the complete answer.
  RetryElseNotRun,   ///< Retry; if impossible, end as "not run".
  RetryElseUnknown,  ///< Retry; if impossible, end as unknown.
  Unknown,           ///< No retry; end with unknown outcome.
};

/** Retry rules for one way in which an attempt can end. */
struct RetryRow {
  AttemptEnd m_end;
  RetryRule m_idempotent;
  RetryRule m_nonIdempotent;
  CounterId m_retryCounter;  ///< Counts retries for this reason.
};

/** @return the rule for an attempt that ended as aEnd. */
[[nodiscard]] const RetryRow& RetryRowFor(AttemptEnd aEnd);

/** Adds aPercent / 100 tokens, for one first attempt. */
void CreditRetryBudget(RetryBudget& aBudget, int64_t aPercent);

/** Takes the token for one retry. @return false if there is none left. */
[[nodiscard]] bool TakeRetry(RetryBudget& aBudget);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_RETRY_FUNC_H_
