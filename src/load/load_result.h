/**
 * @file load_result.h Counts and latencies of a run of the load generator.
 */

#ifndef BRONZE_LOAD_LOAD_RESULT_H_
#define BRONZE_LOAD_LOAD_RESULT_H_

#include <array>
#include <map>
#include <string>

#include "core/metrics/histogram_type.h"
#include "load/load_type.h"

namespace bronze {

/** Results of the requests of one kind. */
struct KindResult {
  uint64_t m_sent = 0;
  uint64_t m_late = 0;  ///< Answered after the window; also in m_outcomes.
  uint64_t m_retries = 0;
  std::array<uint64_t, kRequestOutcomeCount> m_outcomes = {};
  LatencyHistogram m_latency;             ///< Of RequestOutcome::Answered.
  Duration m_longest = Duration::zero();  ///< Highest latency of these.
};

/** Results of the jobs. */
struct BatchResult {
  uint64_t m_submitted = 0;
  uint64_t m_refused = 0;
  uint64_t m_finished = 0;  ///< Jobs.
  uint64_t m_failed = 0;    ///< Jobs, cancelled ones included.
  uint64_t m_open = 0;      ///< Jobs that had not ended at the time limit.
  uint64_t m_tasksFinished = 0;
  uint64_t m_tasksOpen = 0;
  Duration m_longest = Duration::zero();  ///< From submission to end.
};

struct LoadResult {
  std::map<KindId, KindResult> m_kinds;
  std::map<std::string, uint64_t> m_refusals;  ///< By name of the error.
  uint64_t m_inWindow = 0;                     ///< Answers within the window.
  uint64_t m_inWindowSwing = 0;  ///< The same, of requests of the swing.
  uint64_t m_sentSwing = 0;      ///< Requests that arrived in the swing.
  uint64_t m_delayed = 0;        ///< Requests delayed by the connection limit.
  BatchResult m_batch;
};

/** Records how a request ended after its last attempt. */
void RecordOutcome(LoadResult& aResult, const LoadRequest& aRequest,
                   RequestOutcome aOutcome, const std::string& aError,
                   TimePoint aNow);

/** @return the number of requests of all kinds with this outcome. */
[[nodiscard]] uint64_t CountOf(const LoadResult& aResult,
                               RequestOutcome aOutcome);

/** @return the number of requests without an answer or with a malformed one. */
[[nodiscard]] uint64_t LostOf(const LoadResult& aResult);

/** Whether no answer was lost, duplicate or misdelivered and all jobs ended. */
[[nodiscard]] bool IsClean(const LoadResult& aResult);

/**
 * @return answers within the window per second: over the swing if there is one,
 *         else over the whole run.
 */
[[nodiscard]] double GoodputAtPeakRate(const LoadResult& aResult,
                                       const LoadOptions& aOptions);

[[nodiscard]] std::string ResultTable(const LoadResult& aResult,
                                      const LoadOptions& aOptions);
[[nodiscard]] std::string ResultJson(const LoadResult& aResult,
                                     const LoadOptions& aOptions);

}  // namespace bronze

#endif  // BRONZE_LOAD_LOAD_RESULT_H_
