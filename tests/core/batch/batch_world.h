/**
 * @file batch_world.h Simulation of batch scheduling with a fake table, fake
 *                     workers and a virtual clock.
 *
 * Each call consists of two actions: its effect on the receiver, and its
 * answer. Actions run one at a time, so a test can stop a daemon between any
 * two of them. After each action the simulation checks that no task runs on two
 * workers and that no worker is over capacity.
 */

#ifndef BRONZE_TESTS_CORE_BATCH_BATCH_WORLD_H_
#define BRONZE_TESTS_CORE_BATCH_BATCH_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/batch/rack_cmd.h"
#include "core/batch/team_cmd.h"
#include "core/store/commit_cmd.h"

namespace bronze {

struct FakeTable {
  [[nodiscard]] TableCommitResult Commit(const TableTransaction& aCommit);
  [[nodiscard]] TableRow Read(const std::string& aKey) const;
  [[nodiscard]] std::vector<TableRow> Scan(const std::string& aPrefix) const;

  std::map<std::string, TableRow> m_rows;
  uint64_t m_version = 0;
  uint64_t m_commits = 0;
  uint64_t m_bytes = 0;  ///< Size of all keys and values committed so far.
  bool m_down = false;
};

struct FakeRun {
  FencingToken m_token;
  WorkerTaskState m_state = WorkerTaskState::Running;
  Resources m_size;
  Resources m_usage;
  TimePoint m_leaseEnd;
  TimePoint m_end;  ///< When the task finishes.
  ObjectName m_checkpoint;
  KindId m_kind;
};

struct FakeWorker {
  VmInfo m_info;
  std::map<TaskId, FakeRun> m_runs;
  std::map<TaskId, FencingToken> m_highest;  ///< Highest token seen per task.
  bool m_crashed = false;      ///< Refuses connections and runs no tasks.
  bool m_answersLost = false;  ///< Handles calls, but its answers are lost.
  bool m_failsAll = false;
  bool m_paused = false;  ///< Calls wait in m_buffer until Resume().
  std::vector<std::function<void()>> m_buffer;
  bool m_noCheckpoints = false;
};

class FakeDaemon;

class BatchWorld {
 public:
  BatchWorld(int aRacks, int aWorkersPerRack, Resources aSize);
  ~BatchWorld();

  /**
   * Starts a daemon that owns all racks and team shards.
   * @param aNewEpoch true: the next commit of each earlier daemon fails, which
   *        ends its authority. False: all daemons act as owners.
   */
  FakeDaemon& AddDaemon(bool aNewEpoch = true);
  /** Crashes the daemon and removes its pending actions. */
  void Kill(FakeDaemon& aDaemon);

  /** Runs one action, or advances the clock if there is none. */
  void Step();
  /** Runs until aDone() returns true. @return whether it did in time. */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  void RunFor(Duration aTime);

  /** @return the owner of the unit with this number. Use it only if the units
   * are divided among several daemons. */
  FakeDaemon& OwnerOf(size_t aUnit) {
    return *m_daemons.at(m_daemons.size() - m_partitions +
                         aUnit % m_partitions);
  }
  FakeDaemon& OwnerOf(const RackId& aRack) {
    return OwnerOf(static_cast<size_t>(
        std::distance(m_racks.begin(), m_racks.find(aRack))));
  }

  void Post(FakeDaemon* aDaemon, std::function<void()> aAction);

  [[nodiscard]] std::optional<TaskRow> RowOf(TaskId aTask) const;
  [[nodiscard]] int CountState(TaskState aState) const;
  [[nodiscard]] int Running() const;

  /** Ends the pause of a worker. It first handles lapsed leases, then the calls
   * that have arrived. */
  void Resume(const WorkerId& aWorker);

  FakeWorker& WorkerOf(const WorkerId& aWorker);

  // Handling of calls by the workers.
  WorkerCallEnd Start(const WorkerId& aWorker, const WorkerStart& aStart);
  WorkerCallEnd Stop(const WorkerId& aWorker, TaskId aTask, FencingToken aToken,
                     SeenAtWorker& aAnswer);
  WorkerCallEnd Checkpoint(const WorkerId& aWorker, TaskId aTask,
                           FencingToken aToken, SeenAtWorker& aAnswer,
                           ObjectName& aName);
  WorkerCallEnd Renew(const RenewWorkerLease& aCall,
                      std::vector<TaskId>& aUnknown);
  std::optional<WorkerReport> Report(const WorkerId& aWorker);

  TimePoint m_now{seconds(1000)};
  FakeTable m_table;
  std::map<WorkerId, FakeWorker> m_workers;
  std::vector<std::unique_ptr<FakeDaemon>> m_daemons;
  std::set<RackId> m_racks;
  std::map<TaskId, int> m_finishes;
  std::map<KindId, int> m_finishesOfKind;
  /** Whether a task that finishes twice is a violation. False if results may be
   * lost with their worker, as the task then runs again. */
  bool m_finishesOnce = true;
  std::vector<std::string> m_violations;
  Duration m_runTime = seconds(5);
  Duration m_transit = Duration::zero();  ///< Duration of each action.
  std::function<Resources(TaskId, const WorkerStart&)> m_usageOf;
  std::function<Duration(TaskId, const WorkerStart&)> m_runTimeOf;
  std::function<void(const FakeWorker&, WorkerReport&)> m_onReport;
  size_t m_partitions = 1;  ///< Number of daemons that share the units.
  bool m_check = true;      ///< Check invariants; off in benchmarks.
  uint64_t m_steps = 0;
  std::set<uint64_t> m_actionSteps;  ///< Steps that ran an action.
  uint64_t m_starts = 0;
  uint64_t m_evictions = 0;  ///< Runs that ended by a checkpoint or a stop.

 private:
  void Advance(Duration aTime);
  void CheckInvariants();
  [[nodiscard]] bool IsStale(FakeWorker& aWorker, TaskId aTask,
                             FencingToken aToken);

  std::deque<std::pair<FakeDaemon*, std::function<void()>>> m_actions;
  uint64_t m_nextCheckpoint = 1;
};

/** A daemon that connects batch scheduling and group commit with BatchWorld. */
class FakeDaemon {
 public:
  FakeDaemon(BatchWorld& aWorld, int aNumber);

  void Recover();
  void Tick();
  void Submit(const JobRow& aRow);
  void Cancel(JobId aJob);

  BatchWorld& m_world;
  int m_number;
  Counters m_counters;
  GroupCommitState m_commit;
  RackOwnerState m_racks;
  TeamOwnerState m_teams;
  std::vector<AnswerJob> m_answers;
  int m_loseReplies = 0;  ///< Number of next commits whose reply is lost.
  bool m_paused = false;
  bool m_acting = true;  ///< Whether its authority is valid.
  TableRow m_epoch;
  JobId m_lastJob;

 private:
  void CarryOut(BatchEffects aEffects);
  void CarryOut(StoreEffects aEffects);
  void Do(SubmitChange& aEffect);
  void Do(SendOffers& aEffect);
  void Do(SendUpdates& aEffect);
  void Do(SendCancel& aEffect);
  void Do(StartOnWorker& aEffect);
  void Do(StopOnWorker& aEffect);
  void Do(CheckpointOnWorker& aEffect);
  void Do(ThrottleOnWorker& aEffect);
  void Do(RenewWorkerLease& aEffect);
  void Do(ReadWorkerReport& aEffect);
  void Do(ReadTaskRow& aEffect);
  void Do(ReadJobRow& aEffect);
  void Do(ScanRack& aEffect);
  void Do(ScanShard& aEffect);
  void Do(AnswerJob& aEffect);
  void Do(SendCommit& aEffect);
  void Do(ReadLeaseRow& aEffect);
  void Do(EpochRowChanged& aEffect);
  void Do(ChangeDone& aEffect);
  void Do(LeaseCommitted& aEffect);
  [[nodiscard]] CommitFence Fence(CommitSequence aSequence) const;
  void Post(std::function<void()> aAction);

  TimePoint m_nextTeams;
  TimePoint m_nextList;
  CommitSequence m_sentSequence;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_CORE_BATCH_BATCH_WORLD_H_
