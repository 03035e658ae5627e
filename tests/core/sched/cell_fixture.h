/**
 * @file cell_fixture.h A cell with runners, and helpers that act as the store
 * and the runners.
 */

#ifndef BRONZE_TESTS_CORE_SCHED_CELL_FIXTURE_H_
#define BRONZE_TESTS_CORE_SCHED_CELL_FIXTURE_H_

#include <string>
#include <vector>

#include "core/sched/commit_cmd.h"
#include "core/sched/job_cmd.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/schedule_cmd.h"
#include "stored_rows.h"

namespace bronze::sched {

struct CellFixture {
  /** Time from a heartbeat to the end of all leases that it permits. */
  static constexpr Duration kEarlierLeases = milliseconds(10500);

  CellFixture() {
    m_cell.m_fence = FencingToken(7);
    AcknowledgeHeartbeat();
  }

  /** A heartbeat that was sent now is stored. */
  void AcknowledgeHeartbeat() {
    m_cell.m_leaseHorizon = m_now + kEarlierLeases;
  }

  /** Adds a runner that is listed and has answered. */
  RunnerIndex AddRunner(const std::string& aName, int64_t aCores = 64000,
                        const std::string& aRack = "r1") {
    RunnerEntry entry;
    entry.m_id = RunnerId(aName);
    entry.m_service = ServiceId("pool");
    entry.m_address = "127.0.0.1:1";
    entry.m_capacity = {Millicores(aCores), Mebibytes(256000), Accelerators()};
    entry.m_labels = {"kind", aRack};
    entry.m_startedAt = UnixMillis(1);
    const RunnerIndex index = UpdateRunner(m_cell, entry, m_now, m_unixNow);
    Report(index, {}, {});
    return index;
  }

  static JobSpec Spec(uint64_t aId, uint32_t aTasks = 1) {
    JobSpec spec;
    spec.m_id = JobId(aId);
    spec.m_queue = QueueId("queue");
    spec.m_policy.m_service = ServiceId("pool");
    spec.m_policy.m_maxAttempts = 3;
    StepSpec step;
    step.m_count = aTasks;
    step.m_need = {Millicores(4000), Mebibytes(1000), Accelerators()};
    step.m_estimate = milliseconds(800);
    spec.m_steps.push_back(step);
    return spec;
  }

  /** Submits the job and commits, so that it is accepted. */
  void Submit(JobSpec aSpec) {
    const auto when = SubmitJob(m_cell, std::move(aSpec), m_now, m_unixNow);
    if (when) CommitAll();
  }

  void CommitAll() {
    while (HasCommit(m_cell)) {
      const Commit commit = TakeCommit(m_cell, 10, m_now);
      StoreCommit(commit);
      ApplyCommitted(m_cell, commit, m_now);
    }
  }

  /** Places tasks, commits, and answers each start with aOutcome. */
  std::vector<StartOrder> StartAll(
      OrderOutcome aOutcome = OrderOutcome::Applied) {
    PlaceTasks(m_cell, m_now);
    CommitAll();
    std::vector<StartOrder> starts = Take<StartOrder>();
    for (const StartOrder& start : starts) {
      ApplyStartAnswer(m_cell, start, aOutcome, {}, m_now);
    }
    return starts;
  }

  /** @return the starts that follow in this time, with a pass each 50 ms. */
  std::vector<StartOrder> StartsWithin(Duration aTime) {
    std::vector<StartOrder> starts;
    for (const TimePoint until = m_now + aTime; m_now < until;) {
      m_cell.m_capacityChanged = true;
      for (const StartOrder& start : StartAll()) starts.push_back(start);
      AdvanceTime(milliseconds(50));
    }
    return starts;
  }

  /** @return the orders of one kind; all other orders are dropped. */
  template <class Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> found;
    for (const Order& order : m_cell.m_orders) {
      if (const auto* wanted = std::get_if<Kind>(&order)) {
        found.push_back(*wanted);
      }
    }
    m_cell.m_orders.clear();
    return found;
  }

  void Report(RunnerIndex aRunner, std::vector<RunningRow> aRunning,
              std::vector<EndRow> aEnded) {
    RunnerReport report;
    report.m_allEndsListed = true;
    report.m_clock = RunnerMillis(m_now.time_since_epoch().count() / 1000);
    report.m_startedAt = UnixMillis(1);
    report.m_running = std::move(aRunning);
    report.m_ended = std::move(aEnded);
    ApplyReport(m_cell, aRunner, report, m_now, m_now);
  }

  /** Replaces the owner by one that knows only what was committed. */
  void TakeOver() {
    const FencingToken fence = m_cell.m_fence.Next();
    m_cell = Cell();
    m_cell.m_fence = fence;
    for (const auto& [id, spec] : m_rows.m_specs) {
      RestoreJob(m_cell, spec, m_rows.StateOf(id), m_now, m_unixNow);
    }
    BeginTerm(m_cell, m_now + kEarlierLeases);
    for (const UnresponsiveRunner& unresponsive : m_unresponsive) {
      RestoreUnresponsiveRunner(m_cell, unresponsive);
    }
    AcknowledgeHeartbeat();
  }

  void AdvanceTime(Duration aTime) {
    m_now += aTime;
    m_unixNow += UnixMillis(aTime.count() / 1000);
  }

  Task& TaskOf(uint64_t aJob, uint32_t aIndex = 0) {
    return m_cell.m_jobs.at(JobId(aJob)).m_occurrences.at(0).m_tasks[aIndex];
  }

  Cell m_cell;
  TimePoint m_now = TimePoint(seconds(1000));
  UnixMillis m_unixNow = UnixMillis(1'000'000);
  StoredRows m_rows;
  std::vector<UnresponsiveRunner> m_unresponsive;  ///< Stored.

 private:
  void StoreCommit(const Commit& aCommit) {
    m_unresponsive = aCommit.m_unresponsive;
    m_rows.Apply(aCommit);
  }
};

}  // namespace bronze::sched

#endif  // BRONZE_TESTS_CORE_SCHED_CELL_FIXTURE_H_
