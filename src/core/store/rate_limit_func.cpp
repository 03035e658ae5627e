/**
 * @file rate_limit_func.cpp Limits of reads and writes per second.
 */

#include "core/store/rate_limit_func.h"

#include <algorithm>

namespace bronze {

namespace {

double TokensAt(const RateLimit& aLimit, TimePoint aNow) {
  const std::chrono::duration<double> passed =
      std::max(aNow - aLimit.m_lastRefill, Duration::zero());
  return std::min(aLimit.m_tokens + passed.count() * aLimit.m_perSecond,
                  std::max(1.0, aLimit.m_perSecond));
}

}  // namespace

bool TakeToken(RateLimit& aLimit, TimePoint aNow) {
  aLimit.m_tokens = TokensAt(aLimit, aNow);
  aLimit.m_lastRefill = std::max(aNow, aLimit.m_lastRefill);
  if (aLimit.m_tokens < 1.0) return false;
  aLimit.m_tokens -= 1.0;
  return true;
}

TimePoint NextToken(const RateLimit& aLimit, TimePoint aNow) {
  const double missing = 1.0 - TokensAt(aLimit, aNow);
  if (missing <= 0.0) return aNow;
  return aNow + std::chrono::ceil<Duration>(std::chrono::duration<double>(
                    missing / aLimit.m_perSecond));
}

}  // namespace bronze
