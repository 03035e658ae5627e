/**
 * @file batch_run.h Submits the jobs of a run and polls them until they end.
 */

#ifndef BRONZE_LOAD_BATCH_RUN_H_
#define BRONZE_LOAD_BATCH_RUN_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "load/load_result.h"
#include "load/target_pool.h"

namespace bronze {

/** Submits and polls jobs. Runs on the control thread. */
class BatchRun {
 public:
  /** Jobs that last longer than this after the run's duration count as open. */
  static constexpr Duration kLimit = seconds(300);

  BatchRun(const LoadOptions& aOptions, TargetPool& aTargets,
           boost::asio::io_context& aControl, BatchResult& aResult,
           Duration aLimit = kLimit);

  /** aOnEnd runs once, when all jobs have ended or the limit is reached. */
  void Start(std::function<void()> aOnEnd);

 private:
  struct Job {
    int64_t m_number = 0;       ///< Counted from 0 within the run.
    std::string m_id;           ///< Assigned by the server; empty until then.
    TimePoint m_firstSubmitAt;  ///< First attempt to submit the job.
  };

  void After(Duration aDelay, std::function<void()> aAction);
  void Submit(Job aJob);
  void OnSubmitted(Job aJob, const CallOutcome& aOutcome);
  void Poll(Job aJob);
  void OnPolled(Job aJob, const CallOutcome& aOutcome);
  void FinishJob();
  [[nodiscard]] bool IsPastLimit() const;

  const LoadOptions& m_options;
  TargetPool& m_targets;
  boost::asio::io_context& m_control;
  BatchResult& m_result;
  Duration m_limit;
  TimePoint m_begin;
  int64_t m_jobsLeft = 0;  ///< Jobs that have not ended.
  std::function<void()> m_onEnd;
};

}  // namespace bronze

#endif  // BRONZE_LOAD_BATCH_RUN_H_
