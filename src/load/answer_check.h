/**
 * @file answer_check.h Checks that an answer is complete and belongs to its
 * request.
 */

#ifndef BRONZE_LOAD_ANSWER_CHECK_H_
#define BRONZE_LOAD_ANSWER_CHECK_H_

#include <string>
#include <unordered_set>

#include "load/load_type.h"
#include "net/http_client.h"

namespace bronze {

/**
 * Markers in all complete answers received so far, whichever request received
 * them.
 */
struct ReceivedMarkers {
  std::unordered_set<std::string> m_seen;
};

/** How one attempt of a request ended. */
struct AttemptResult {
  RequestOutcome m_outcome = RequestOutcome::Lost;
  std::string m_error;  ///< Name of the error kind; empty if there is none.
};

/** Classifies an attempt; adds the marker of a complete answer to aReceived. */
[[nodiscard]] AttemptResult ClassifyAttempt(ReceivedMarkers& aReceived,
                                            const LoadRequest& aRequest,
                                            const CallOutcome& aOutcome);

/** Whether to try another target after an attempt that ended so. */
[[nodiscard]] bool MayRetry(const LoadRequest& aRequest,
                            RequestOutcome aAttemptOutcome, size_t aTargets,
                            TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_LOAD_ANSWER_CHECK_H_
