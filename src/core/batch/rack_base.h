/**
 * @file rack_base.h State of the racks that one daemon owns.
 */

#ifndef BRONZE_CORE_BATCH_RACK_BASE_H_
#define BRONZE_CORE_BATCH_RACK_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "core/batch/batch_type.h"
#include "core/batch/interference_func.h"
#include "core/batch/task_cmd.h"
#include "core/batch/usage_func.h"
#include "core/batch/worker_type.h"
#include "core/config/settings_type.h"

namespace bronze {

/** What the rack owner knows of a task's run with the token in its row. */
enum class SeenAtWorker : uint8_t {
  Unknown,
  Running,
  Finished,
  Failed,
  Stopped,  ///< It has ended, or it did not start and no longer can.
  Lapsed,   ///< The worker's lease has lapsed, so the task no longer runs.
};

enum class EvictReason : uint8_t { None, Urgent, Interference, Growth, Drain };

/** The call in flight to a task's worker. */
enum class TaskCall : uint8_t { None, Start, Stop, Checkpoint };

/** A task with capacity reserved on a worker of an owned rack. */
struct RackTask {
  TaskSpec m_spec;
  TaskRow m_row;         ///< Last committed row; before the first commit, the
                         ///< one that the offer describes.
  RowVersion m_version;  ///< Of m_row.
  WorkerId m_worker;     ///< Worker with the reserved capacity.
  Resources m_reserved;  ///< Capacity reserved on m_worker.

  ChangeId m_change;  ///< Valid while a commit of m_nextRow is pending.
  TaskRow m_nextRow;
  bool m_reading = false;    ///< The row is being read.
  bool m_needsRead = false;  ///< Another daemon seems to have changed the row.

  SeenAtWorker m_seen = SeenAtWorker::Unknown;
  TaskCall m_call = TaskCall::None;
  TimePoint m_callStarted;
  TimePoint m_retryAt;            ///< Earliest time of the next call.
  bool m_startSent = false;       ///< A start may have reached the worker.
  uint64_t m_tokenIncrement = 0;  ///< Added to the row's token in stops.
  /** A report or renewal that should have listed the task did not. */
  bool m_missingFromReport = false;
  ObjectName m_lastCheckpoint;  ///< Newest known; may be newer than the row's.
  std::string m_message;        ///< Error message of a failure.
  int m_checkpointFailures = 0;

  EvictReason m_evict = EvictReason::None;
  TimePoint m_started;
  /** Time of the start or of the newest checkpoint; an eviction loses the work
   * done since. */
  TimePoint m_checkpointed;
  Resources m_usage;      ///< From the last report.
  Millicores m_throttle;  ///< Limit of its cores; zero: not throttled.
  Resources m_measured;   ///< Use above the reservation; zero: none yet.
  bool m_probe = false;   ///< Tests a worker in quarantine.
};

/** An offer that waits for capacity in a rack. */
struct WaitingOffer {
  TaskOffer m_offer;
  TimePoint m_arrived;
  bool m_evicted = false;  ///< A task is evicted for it, at most one.
};

/** Steps taken against interference on one worker. */
struct InterferenceReaction {
  int m_badReports = 0;  ///< With excessive slowdown, since the last recovery.
  TaskId m_throttled;    ///< Throttled task; its job is invalid if there is
                         ///< none.
  TimePoint m_throttledAt;
};

enum class UnitPhase : uint8_t {
  Recovering,  ///< The rows are being read; no decision is taken yet.
  Ready,
};

struct OwnedRack {
  UnitPhase m_phase = UnitPhase::Recovering;
  TimePoint m_lastScan;
  std::deque<WaitingOffer> m_offers;
};

/** Token bucket that limits the rate of evictions. */
struct EvictionBudget {
  double m_tokens = 0.0;
  TimePoint m_filled;  ///< Time of the last refill.
};

struct RackOwnerState {
  BatchSettings m_settings;
  Duration m_clockErrorMargin =
      milliseconds(100);  ///< Clock error beyond the drift.
  int64_t m_driftPercent = 2;
  /** False evicts a suspect at the first report of a slowdown, without
   * throttling it before; only benchmarks do that, as a baseline. */
  bool m_hysteresis = true;
  /** False ignores interference; only benchmarks do that, as a baseline. */
  bool m_useInterference = true;

  std::map<RackId, OwnedRack> m_racks;
  std::map<WorkerId, Worker> m_workers;  ///< Of all owned racks.
  std::unordered_map<TaskId, RackTask> m_tasks;
  std::map<ChangeId, TaskId> m_changes;  ///< Commits without a result.
  ChangeId m_nextChange{1};

  UsageTable m_usage;
  InterferenceTable m_interference;
  std::map<WorkerId, InterferenceReaction> m_reactions;
  /** Tasks that a scan of a rack found but m_tasks lacks; their rows are being
   * read. */
  std::map<TaskId, TaskSpec> m_unknownRows;
  EvictionBudget m_evictionBudget;
  /** Set after a refused checkpoint, as the object store seems to be down;
   * until then no task is evicted for interference or growth. */
  TimePoint m_checkpointBackoffEnd;
  std::map<TeamShard, TaskUpdates> m_updates;  ///< Sent by the next tick.
  TimePoint m_nextSweep;
  std::minstd_rand m_random;
};

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_RACK_BASE_H_
