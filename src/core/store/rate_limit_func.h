/**
 * @file rate_limit_func.h Limits of reads and writes per second.
 *
 * The table service accepts about 2,000 reads/s and several hundred writes/s
 * from all daemons together, so each daemon limits itself to its share.
 */

#ifndef BRONZE_CORE_STORE_RATE_LIMIT_FUNC_H_
#define BRONZE_CORE_STORE_RATE_LIMIT_FUNC_H_

#include "core/base/time_type.h"

namespace bronze {

/** Token bucket with a burst of one second. */
struct RateLimit {
  double m_perSecond = 1.0;
  double m_tokens = 1.0;   ///< In [0, max(1, m_perSecond)].
  TimePoint m_lastRefill;  ///< Time up to which tokens were added.
};

/** Takes a token if there is one. @return whether there was. */
[[nodiscard]] bool TakeToken(RateLimit& aLimit, TimePoint aNow);

/** @return when the next token is available; aNow if there is one already. */
[[nodiscard]] TimePoint NextToken(const RateLimit& aLimit, TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_STORE_RATE_LIMIT_FUNC_H_
