/**
 * @file team_base.h State of the team shards that one daemon owns.
 */

#ifndef BRONZE_CORE_BATCH_TEAM_BASE_H_
#define BRONZE_CORE_BATCH_TEAM_BASE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "core/batch/batch_type.h"
#include "core/batch/rack_base.h"
#include "core/config/settings_type.h"

namespace bronze {

/** State of a task that its team owner keeps. */
struct TeamTask {
  TaskRow m_row;           ///< Newest known row.
  RowVersion m_version;    ///< 0 if the task has no row yet.
  RackId m_offeredTo;      ///< Valid while an offer has no answer.
  TimePoint m_since;       ///< When the newest row became known.
  TimePoint m_retryAt;     ///< Earliest time of the next offer.
  ChangeId m_change;       ///< Valid while a cancellation is being committed.
  bool m_reading = false;  ///< The row is being read.
};

struct TeamJob {
  JobRow m_row;
  RowVersion m_version;
  std::vector<TeamTask> m_tasks;
  uint32_t m_open = 0;         ///< Tasks that have not ended.
  uint32_t m_firstQueued = 0;  ///< No task with a lower index can be offered.
  uint64_t m_order = 0;        ///< Position by age; higher is newer.
  TimePoint m_known;           ///< When this owner learned of the job.
  TimePoint m_ended;           ///< When m_open became 0.
  const char* m_waitingFor = "";
};

/** Sorts urgent jobs first, then by descending priority, then by age. */
using QueueKey = std::tuple<bool, int32_t, uint64_t, JobId>;

struct Team {
  Resources m_used;            ///< Sum over placed and offered tasks.
  std::set<QueueKey> m_queue;  ///< Jobs that may have queued tasks.
};

/** A submitted job whose row is being committed. */
struct PendingSubmit {
  JobId m_job;
  JobRow m_row;
  ChangeId m_change;
  /** API calls that wait for the result, with their time of arrival. */
  std::vector<std::pair<uint64_t, TimePoint>> m_calls;
  bool m_reading = false;  ///< The row exists already and is being read.
};

/** A cancellation of a job whose row is being committed. */
struct PendingCancel {
  ChangeId m_change;
  /** API calls that wait for the result, with their time of arrival. */
  std::vector<std::pair<uint64_t, TimePoint>> m_calls;
  bool m_reading = false;  ///< The row has changed and is being read.
};

struct OwnedShard {
  UnitPhase m_phase = UnitPhase::Recovering;
  TimePoint m_lastScan;
};

struct TeamOwnerState {
  BatchSettings m_settings;
  bool m_storeUp = true;  ///< Whether the table service can be reached;
                          ///< submissions are refused while it cannot.

  std::map<TeamShard, OwnedShard> m_shards;
  std::map<TeamId, Team> m_teams;
  std::map<JobId, TeamJob> m_jobs;
  std::map<JobId, PendingSubmit> m_submits;
  std::map<JobId, PendingCancel> m_cancels;
  std::map<ChangeId, TaskId> m_taskChanges;  ///< Task cancellations.
  std::map<ChangeId, JobId> m_jobChanges;    ///< Submissions and cancellations.
  std::set<TaskId> m_tasksToCancel;  ///< Cancellation not committed yet.
  /** Cancelled tasks that may still run, with the time of the last SendCancel
   * to their rack owner. */
  std::map<TaskId, TimePoint> m_awaitingStop;
  std::map<TaskId, TimePoint> m_offers;  ///< Open offers, with the time sent.
  ChangeId m_nextChange{uint64_t{1} << 62};
  uint64_t m_nextOrder = 1;

  /** Free capacity of each rack, from the newest summaries less the offers sent
   * since. */
  std::vector<RackSummary> m_racks;
  /** What an empty worker can hold of batch tasks; each distinct size once. */
  std::vector<Resources> m_workerLimits;
  Resources m_capacity;  ///< Sum of these limits over all workers; base of the
                         ///< teams' shares.
  std::minstd_rand m_random;
};

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_TEAM_BASE_H_
