/**
 * @file arrival_func.cpp Generates the times and contents of the requests.
 */

#include "load/arrival_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bronze {

namespace {

/** In bytes. */
constexpr size_t kMaxPadding = 1024;
/** Longest window that the daemon allows by default. */
constexpr Duration kStandingWindow = seconds(30);

/** @return the time of the next change of the rate after aTime. */
Duration NextChange(const Swing& aSwing, Duration aTime) {
  const Duration end = aSwing.m_start + aSwing.m_length;
  if (aSwing.m_length == Duration::zero() || aTime >= end) {
    return Duration::max();
  }
  return aTime < aSwing.m_start ? aSwing.m_start : end;
}

Duration FromSeconds(double aSeconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
}

}  // namespace

bool IsInSwing(const Swing& aSwing, Duration aTime) {
  return aTime >= aSwing.m_start && aTime < aSwing.m_start + aSwing.m_length;
}

std::optional<Duration> NextArrival(ArrivalState& aState,
                                    const LoadOptions& aOptions) {
  // Gap to the next arrival in units of the mean gap. When the rate changes,
  // the remaining part is converted at the new rate.
  double left = std::exponential_distribution<double>(1.0)(aState.m_random);
  Duration time = aState.m_last;
  while (time < aOptions.m_duration) {
    const double rate =
        aOptions.m_rate *
        (IsInSwing(aOptions.m_swing, time) ? aOptions.m_swing.m_factor : 1.0);
    const Duration change =
        std::min(NextChange(aOptions.m_swing, time), aOptions.m_duration);
    const double until = std::chrono::duration<double>(change - time).count();
    if (rate > 0.0 && left <= rate * until) {
      time += FromSeconds(left / rate);
      if (time >= aOptions.m_duration) break;
      aState.m_last = time;
      ++aState.m_count;
      return time;
    }
    left -= rate * until;
    time = change;
  }
  return std::nullopt;
}

LoadRequest MakeRequest(ArrivalState& aState, const LoadOptions& aOptions,
                        TimePoint aBegin) {
  std::vector<double> shares;
  for (const KindShare& item : aOptions.m_mix) shares.push_back(item.m_share);
  std::discrete_distribution<size_t> kinds(shares.begin(), shares.end());
  std::uniform_int_distribution<size_t> padding(0, kMaxPadding);
  LoadRequest request;
  request.m_kind = aOptions.m_mix[kinds(aState.m_random)].m_kind;
  request.m_marker = fmt::format("{}-{}", aOptions.m_nonce, aState.m_count);
  if (!IsIdempotent(request.m_kind)) request.m_key = request.m_marker;
  request.m_body =
      nlohmann::json{{"marker", request.m_marker},
                     {"padding", std::string(padding(aState.m_random), 'x')}}
          .dump();
  request.m_scheduled = aBegin + aState.m_last;
  request.m_deadline =
      request.m_scheduled + (IsStanding(request.m_kind)
                                 ? std::max(aOptions.m_window, kStandingWindow)
                                 : aOptions.m_window);
  request.m_inSwing = IsInSwing(aOptions.m_swing, aState.m_last);
  return request;
}

}  // namespace bronze
