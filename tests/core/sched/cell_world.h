/**
 * @file cell_world.h A world of runners, a store and several owners in virtual
 * time, for property tests of the cell.
 *
 * Everything that happens follows from one seed. Orders are lost, answered
 * late, or carried out seconds later; runners crash, are cut off and come back;
 * owners freeze and wake, and successors take over meanwhile. The world checks
 * the rules of execution at each start.
 */

#ifndef BRONZE_TESTS_CORE_SCHED_CELL_WORLD_H_
#define BRONZE_TESTS_CORE_SCHED_CELL_WORLD_H_

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

namespace bronze::sched {

/** A runner by the platform's protocol; it does not guard its capacity. */
struct WorldRunner {
  struct Run {
    RunNumber m_number;
    TimePoint m_endsAt;
    Resources m_need;
    TimePoint m_begunAt;
    bool m_together = false;  ///< All members of its gang are there.
  };

  RunnerEntry m_entry;
  double m_clockRate = 1.0;  ///< Of its steady clock, 0.98 to 1.
  TimePoint m_bootedAt;
  FencingToken m_fence;
  RunnerMillis m_deadline;
  std::map<TaskKey, Run> m_runs;
  std::map<TaskKey, RunNumber> m_shutOut;  ///< Highest run ended or stopped.
  std::vector<EndRow> m_ends;              ///< Not forgotten yet.
  EndNumber m_lastEnd;
  bool m_reachable = true;
};

/** A daemon that owns the cell, or believes so. */
struct WorldOwner {
  Cell m_cell;
  uint64_t m_rowVersion = 0;  ///< Its last durable write of the owner row.
  TimePoint m_lastCommitSentAt;
  std::optional<Commit> m_commit;  ///< Under way.
  TimePoint m_commitSentAt;
  bool m_frozen = false;
  bool m_ended = false;
  std::vector<std::function<void()>> m_inbox;  ///< Answers while frozen.
};

class CellWorld {
 public:
  explicit CellWorld(uint64_t aSeed);

  /** Plays faults for aTime of the world, then a calm time for aCalm. */
  void Play(Duration aTime, Duration aCalm);

  /** What went against the rules, in words; empty: nothing. */
  [[nodiscard]] const std::vector<std::string>& Violations() const {
    return m_violations;
  }
  /** Jobs that should have ended by now, or tasks that last without a run. */
  [[nodiscard]] std::vector<std::string> Unfinished() const;
  [[nodiscard]] uint64_t Starts() const { return m_starts; }
  [[nodiscard]] uint64_t Takeovers() const { return m_takeovers; }

 private:
  struct Event {
    TimePoint m_at;
    std::function<void()> m_action;
  };
  using OwnerPtr = std::shared_ptr<WorldOwner>;

  [[nodiscard]] bool Chance(double aProbability);
  [[nodiscard]] int64_t Between(int64_t aLeast, int64_t aMost);
  void After(Duration aDelay, std::function<void()> aAction);
  void Violate(std::string aText);

  void AddRunner(int aNumber);
  void SubmitJobs();
  /** A caller repeats its job until the store has it. */
  void HandIn(const JobSpec& aSpec);
  [[nodiscard]] JobSpec RandomJob(uint64_t aId);

  void Step(bool aFaults);
  void InjectFaults();
  void TakeOver();
  void Act(const OwnerPtr& aOwner);
  void SendOrders(const OwnerPtr& aOwner);
  void SendHolds(const OwnerPtr& aOwner);
  void StartCommit(const OwnerPtr& aOwner);
  void FinishCommit(const OwnerPtr& aOwner);
  /** Runs an answer now, or when the owner wakes. */
  static void Deliver(const OwnerPtr& aOwner, std::function<void()> aAnswer);

  /** Sends an order through the network with its faults. */
  void Order(const OwnerPtr& aOwner, RunnerIndex aRunner,
             std::function<OrderOutcome(WorldRunner&)> aCarryOut,
             std::function<void(OrderOutcome)> aAnswer);

  [[nodiscard]] RunnerMillis ClockOf(const WorldRunner& aRunner) const;
  void AdvanceRunner(WorldRunner& aRunner);
  /** The members of the task's gang that have that run. */
  [[nodiscard]] std::vector<WorldRunner::Run*> GangRuns(const TaskKey& aKey,
                                                        RunNumber aRun);
  /** Ends runs whose gang has lost a member or never came together. */
  void BreakGangs();
  void EndRun(WorldRunner& aRunner, const TaskKey& aKey, EndKind aKind);
  /** A longer lease is cut; none is shortened. */
  void ExtendLease(WorldRunner& aRunner, RunnerMillis aDeadline);
  bool PassesFence(WorldRunner& aRunner, FencingToken aFence) const;
  OrderOutcome CarryOutStart(WorldRunner& aRunner, const StartOrder& aOrder,
                             FencingToken aFence, RunnerMillis aDeadline);
  OrderOutcome CarryOutStop(WorldRunner& aRunner, const StopOrder& aOrder,
                            FencingToken aFence);
  RunnerReport CarryOutHold(WorldRunner& aRunner, const HoldOrder& aOrder);
  void CheckStart(const WorldRunner& aRunner, const StartOrder& aOrder);
  void Crash(WorldRunner& aRunner);

  std::mt19937_64 m_random;
  TimePoint m_now = TimePoint(seconds(1000));
  UnixMillis m_unixNow = UnixMillis(1'000'000);
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<WorldRunner> m_runners;
  std::vector<OwnerPtr> m_owners;  ///< The last one owns the row.
  uint64_t m_version = 1;          ///< The store's counter.
  bool m_storeAway = false;
  TimePoint m_rowChangedAt;

  std::map<JobId, JobSpec> m_specs;       ///< Stored.
  std::map<JobId, StoredState> m_states;  ///< Stored.
  std::vector<SilentRunner> m_silent;     ///< Stored.
  std::map<JobId, JobSpec> m_submitted;   ///< What callers handed in.
  std::set<JobId> m_hopeless;             ///< Their tasks fail each time.
  std::set<TaskKey> m_done;               ///< Ended so at least once.
  std::set<TaskKey> m_doneNoted;          ///< The same, and it was noted.
  std::map<TaskKey, uint32_t> m_failed;   ///< Failed ends that were noted.
  std::vector<std::string> m_violations;
  uint64_t m_starts = 0;
  uint64_t m_takeovers = 0;
  int64_t m_born = 1;
};

}  // namespace bronze::sched

#endif  // BRONZE_TESTS_CORE_SCHED_CELL_WORLD_H_
