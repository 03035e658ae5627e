/**
 * @file retry_func.cpp Retry rules and retry budget.
 */

#include "core/request/retry_func.h"

#include <algorithm>

#include "core/request/table/retry_rule.h"

namespace bronze {

const RetryRow& RetryRowFor(AttemptEnd aEnd) {
  return kRetryRows[static_cast<size_t>(aEnd)];
}

void CreditRetryBudget(RetryBudget& aBudget, int64_t aPercent) {
  const double credit = static_cast<double>(aPercent) / 100.0;
  aBudget.m_tokens = std::min(aBudget.m_tokens + credit, kRetryBurst);
}

bool TakeRetry(RetryBudget& aBudget) {
  if (aBudget.m_tokens < 1.0) return false;
  aBudget.m_tokens -= 1.0;
  return true;
}

}  // namespace bronze
