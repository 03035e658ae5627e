/**
 * @file runner_func.h A simulated runner: run times, slots, repeated runs.
 */

#ifndef BRONZE_STANDIN_RUNNER_FUNC_H_
#define BRONZE_STANDIN_RUNNER_FUNC_H_

#include <string>

#include "standin/standin_base.h"

namespace bronze {

struct RunnerRequest {
  KindId m_kind;
  std::string m_key;     ///< Header Idempotency-Key; may be empty.
  std::string m_marker;  ///< Unique marker from the body; may be empty.
};

struct RequestRun {
  Duration m_runTime = Duration::zero();
  bool m_usesSlot = true;
};

/** Starts a request, also without a free slot, which counts as a violation. */
[[nodiscard]] RequestRun BeginRequest(StandinState& aState,
                                      RunnerState& aRunner,
                                      const RunnerRequest& aRequest,
                                      TimePoint aNow);

void EndRequest(StandinState& aState, RunnerState& aRunner,
                const RequestRun& aRun, TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_STANDIN_RUNNER_FUNC_H_
