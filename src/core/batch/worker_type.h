/**
 * @file worker_type.h State of a worker that its rack owner keeps.
 */

#ifndef BRONZE_CORE_BATCH_WORKER_TYPE_H_
#define BRONZE_CORE_BATCH_WORKER_TYPE_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/message/platform_type.h"

namespace bronze {

/**
 * Lease under which a worker runs tasks, as far as its rack owner knows. Starts
 * and renewals extend it; the worker stops its tasks when it lapses.
 */
struct WorkerLease {
  /** Latest time at which the worker can have received an extension: the end
   * of the last call that extends the lease. */
  TimePoint m_latestReceipt;
  TimePoint m_lastSent;     ///< When the last start or renewal was sent.
  int m_callsInFlight = 0;  ///< Starts and renewals without a result.
  bool m_renewalInFlight = false;
  bool m_unanswered = false;  ///< The last start or renewal was sent, but no
                              ///< answer came.
};

/** Consecutive task failures of a worker, and its quarantine. */
struct WorkerHealth {
  std::set<JobId> m_failedJobs;  ///< Jobs of the consecutive failures.
  int m_failuresInRow = 0;
  bool m_quarantined = false;
  TimePoint m_nextProbe;
  int m_probesFailed = 0;  ///< Since the quarantine began.
  TaskId m_probe;  ///< Task that tests whether the worker has recovered;
                   ///< its job is invalid if there is none.
};

struct Worker {
  WorkerId m_id;
  RackId m_rack;
  VmState m_state = VmState::Live;
  bool m_draining = false;  ///< An operator has drained the worker.
  Resources m_total;
  Resources m_limit;     ///< Part of m_total that batch tasks may reserve.
  Resources m_reserved;  ///< Sum over m_tasks; a new reservation never takes it
                         ///< above m_limit.
  WorkerLease m_lease;
  WorkerHealth m_health;
  bool m_reachable = false;  ///< The worker answered the last call.
  bool m_reported = false;   ///< A report has arrived since this daemon took
                             ///< over the rack.
  bool m_reportInFlight = false;
  TimePoint m_lastReportRequest;
  /** Slowdown of each service kind on the worker, from the last report; 1.0
   * means none. */
  std::vector<std::pair<KindId, double>> m_slowdowns;
  std::set<TaskId> m_tasks;       ///< Tasks with capacity reserved here.
  std::map<KindId, int> m_kinds;  ///< Number of m_tasks per kind.
  /** Ended tasks that the next renewal tells the worker to forget. */
  std::vector<std::pair<TaskId, FencingToken>> m_forget;
  size_t m_forgetSent = 0;  ///< Leading entries of m_forget that the renewal
                            ///< in flight carries.
};

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_WORKER_TYPE_H_
