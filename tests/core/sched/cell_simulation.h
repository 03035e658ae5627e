/**
 * @file cell_simulation.h Simulation of runners, a store and several owners in
 * virtual time, for property tests of the cell.
 *
 * All events follow from one seed. Orders are lost, answered late, or executed
 * seconds later; runners crash, become unreachable and come back; owners pause
 * and resume, and others take over meanwhile. The simulation checks the rules
 * of execution at each start.
 */

#ifndef BRONZE_TESTS_CORE_SCHED_CELL_SIMULATION_H_
#define BRONZE_TESTS_CORE_SCHED_CELL_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/sched/commit_cmd.h"
#include "core/sched/job_cmd.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/schedule_cmd.h"
#include "stored_rows.h"

namespace bronze::sched {

/** A runner that follows the platform's protocol; it does not enforce its
 *  capacity. */
struct SimulatedRunner {
  struct Run {
    RunNumber m_number;
    TimePoint m_endsAt;
    Resources m_need;
    TimePoint m_begunAt;
    bool m_gangComplete = false;  ///< All members of its gang have started.
  };

  RunnerEntry m_entry;
  double m_clockRate = 1.0;  ///< Rate of its steady clock, 0.98 to 1.
  TimePoint m_bootedAt;
  FencingToken m_fence;
  RunnerMillis m_deadline;
  std::map<TaskKey, Run> m_runs;
  /** Highest run that ended or was stopped; none up to it starts any more. */
  std::map<TaskKey, RunNumber> m_closedRuns;
  std::vector<EndRow> m_ends;  ///< Ends that were not acknowledged yet.
  EndNumber m_lastEnd;
  /** Ends up to this one may be ignored, as the lease has ended since. */
  EndNumber m_lapsedEnds;
  bool m_reachable = true;
  bool m_listed = true;
};

/** A daemon that owns the cell, or assumes so. */
struct SimulatedOwner {
  Cell m_cell;
  /** Version of its last durable write of the owner row. */
  uint64_t m_rowVersion = 0;
  TimePoint m_lastCommitSentAt;
  std::optional<Commit> m_commit;  ///< Pending commit.
  TimePoint m_commitSentAt;
  bool m_paused = false;
  bool m_ended = false;
  /** Answers that arrived while it was paused. */
  std::vector<std::function<void()>> m_pendingAnswers;
};

class CellSimulation {
 public:
  /**
   * @param aSettings of each owner.
   * @param aCommitRows rows of one commit at most.
   */
  explicit CellSimulation(uint64_t aSeed, CellSettings aSettings = {},
                          size_t aCommitRows = 10);

  /** Callers cancel some of the jobs, most often right after a start on a
   *  runner that has restarted, and more stops are lost. Drawn from a generator
   *  of its own, so that seeds that were found without it keep their meaning.
   */
  void CancelSomeJobs();

  /** Simulates aTime with faults, then aCalm without. */
  void Simulate(Duration aTime, Duration aCalm);

  /** @return descriptions of all broken rules. */
  [[nodiscard]] const std::vector<std::string>& Violations() const {
    return m_violations;
  }
  /** @return jobs that should have ended by now, long-running ones whose tasks
   *  do not all run, and cancelled ones that still have a run. */
  [[nodiscard]] std::vector<std::string> Unfinished() const;
  [[nodiscard]] uint64_t Starts() const { return m_starts; }
  [[nodiscard]] uint64_t Cancels() const { return m_cancels; }
  [[nodiscard]] uint64_t Takeovers() const { return m_takeovers; }
  [[nodiscard]] const StoredRows& Rows() const { return m_rows; }

 private:
  struct Event {
    TimePoint m_at;
    std::function<void()> m_action;
  };
  using OwnerPtr = std::shared_ptr<SimulatedOwner>;

  [[nodiscard]] bool Chance(double aProbability);
  [[nodiscard]] int64_t Between(int64_t aLeast, int64_t aMost);
  void After(Duration aDelay, std::function<void()> aAction);
  void ReportViolation(std::string aText);

  void AddRunner(int aNumber);
  void SubmitJobs();
  /** Submits the job and repeats that until the store has it. */
  void SubmitUntilStored(const JobSpec& aSpec);
  /** @return whether to add a fault of CancelSomeJobs. */
  [[nodiscard]] bool CancelChance(double aProbability);
  /** Cancels the job and repeats that until the store has its end. */
  void CancelUntilStored(JobId aJob);
  /** @return the runs of the job on all runners. */
  [[nodiscard]] size_t RunsOf(JobId aJob) const;
  [[nodiscard]] JobSpec RandomJob(uint64_t aId);

  void Step(bool aFaults);
  void InjectFaults();
  void TakeOver();
  void Act(const OwnerPtr& aOwner);
  void SendOrders(const OwnerPtr& aOwner);
  void SendRenewals(const OwnerPtr& aOwner);
  void StartCommit(const OwnerPtr& aOwner);
  void FinishCommit(const OwnerPtr& aOwner);
  /** Handles an answer now, or when the owner resumes. */
  static void Deliver(const OwnerPtr& aOwner, std::function<void()> aAnswer);

  /** Sends an order over the simulated network, with faults. */
  void Order(const OwnerPtr& aOwner, RunnerIndex aRunner,
             std::function<OrderOutcome(SimulatedRunner&)> aExecute,
             std::function<void(OrderOutcome)> aAnswer);

  [[nodiscard]] RunnerMillis ClockOf(const SimulatedRunner& aRunner) const;
  void AdvanceRunner(SimulatedRunner& aRunner);
  /** @return the runs of the task's gang that have that number. */
  [[nodiscard]] std::vector<SimulatedRunner::Run*> GangRuns(const TaskKey& aKey,
                                                            RunNumber aRun);
  /** Ends runs whose gang has lost a member or was not complete in time. */
  void BreakGangs();
  void EndRun(SimulatedRunner& aRunner, const TaskKey& aKey, EndKind aKind);
  /** Extends the lease up to the maximum; it is never shortened. */
  void ExtendLease(SimulatedRunner& aRunner, RunnerMillis aDeadline);
  bool PassesFence(SimulatedRunner& aRunner, FencingToken aFence) const;
  OrderOutcome ExecuteStart(SimulatedRunner& aRunner, const StartOrder& aOrder,
                            FencingToken aFence, RunnerMillis aDeadline);
  OrderOutcome ExecuteStop(SimulatedRunner& aRunner, const StopOrder& aOrder,
                           FencingToken aFence);
  RunnerReport ExecuteRenewal(SimulatedRunner& aRunner,
                              const RenewalOrder& aOrder);
  void CheckStart(const SimulatedRunner& aRunner, const StartOrder& aOrder);
  void Crash(SimulatedRunner& aRunner);
  /** The runner cannot be reached for a time; its entry may be removed. */
  void CutOff(size_t aRunner);
  /** Adds or removes the runner's entry. */
  void SetListed(SimulatedRunner& aRunner, bool aListed);

  std::mt19937_64 m_random;
  std::mt19937_64 m_cancelRandom;
  bool m_withCancels = false;
  TimePoint m_now = TimePoint(seconds(1000));
  UnixMillis m_unixNow = UnixMillis(1'000'000);
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<SimulatedRunner> m_runners;
  std::vector<OwnerPtr> m_owners;  ///< The last one owns the row.
  uint64_t m_version = 1;          ///< The store's version counter.
  bool m_storeDown = false;
  TimePoint m_rowChangedAt;

  CellSettings m_settings;
  size_t m_commitRows;
  StoredRows m_rows;
  std::vector<UnresponsiveRunner> m_unresponsive;  ///< Stored.
  std::map<JobId, JobSpec> m_submitted;  ///< Jobs that callers have submitted.
  std::set<JobId> m_alwaysFailing;       ///< Jobs whose tasks fail each time.
  std::set<TaskKey> m_done;  ///< Tasks that succeeded at least once.
  /** Tasks whose success was acknowledged. */
  std::set<TaskKey> m_acknowledgedDone;
  /** Number of acknowledged failures of each task. */
  std::map<TaskKey, uint32_t> m_acknowledgedFailures;
  std::vector<std::string> m_violations;
  uint64_t m_starts = 0;
  uint64_t m_cancels = 0;  ///< Cancels that are durable.
  uint64_t m_takeovers = 0;
};

}  // namespace bronze::sched

#endif  // BRONZE_TESTS_CORE_SCHED_CELL_SIMULATION_H_
