/**
 * @file arrival_func.h Generates the times and contents of the requests.
 */

#ifndef BRONZE_LOAD_ARRIVAL_FUNC_H_
#define BRONZE_LOAD_ARRIVAL_FUNC_H_

#include <optional>
#include <random>

#include "load/load_type.h"

namespace bronze {

/** State of the generator; its arrivals depend only on seed and options. */
struct ArrivalState {
  explicit ArrivalState(uint64_t aSeed) : m_random(aSeed) {}

  std::mt19937_64 m_random;
  Duration m_last = Duration::zero();  ///< Last arrival, from the run's start.
  uint64_t m_count = 0;                ///< Arrivals so far.
};

[[nodiscard]] bool IsInSwing(const Swing& aSwing, Duration aTime);

/**
 * @return the time of the next arrival, since the start of the run; nothing
 *         after the duration of the run.
 */
[[nodiscard]] std::optional<Duration> NextArrival(ArrivalState& aState,
                                                  const LoadOptions& aOptions);

/** Draws a random kind and body for the request that arrives at m_last. */
[[nodiscard]] LoadRequest MakeRequest(ArrivalState& aState,
                                      const LoadOptions& aOptions,
                                      TimePoint aBegin);

}  // namespace bronze

#endif  // BRONZE_LOAD_ARRIVAL_FUNC_H_
