/**
 * @file move_property_test.cpp Moves jobs between several cells at random, with
 * messages that are lost, delayed or doubled and with owners that fail, and
 * checks that each job belongs to exactly one cell.
 *
 * Runners are left out: what matters is which cells may place tasks of a job.
 */

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "core/sched/cell_layout_func.h"
#include "core/sched/job_cmd.h"
#include "core/sched/move_cmd.h"
#include "core/sched/route_cmd.h"
#include "pending_check.h"
#include "stored_rows.h"

namespace bronze::sched {

namespace {

constexpr uint32_t kCells = 3;
constexpr uint64_t kJobs = 6;
constexpr Duration kStep = milliseconds(50);

/** One cell: its owner's state and its rows in the store. */
struct SimulatedCell {
  Cell m_cell;
  uint64_t m_term = 0;  ///< Rises with each owner.
  std::optional<Commit> m_commit;
  StoredRows m_rows;
  std::map<JobId, StoredRoute> m_routes;
};

class MoveSimulation {
 public:
  explicit MoveSimulation(uint64_t aSeed) : m_random(aSeed), m_cells(kCells) {}

  void Run(int aSteps, int aCalmSteps) {
    for (int step = 0; step < aSteps + aCalmSteps; ++step) {
      m_calm = step >= aSteps;
      m_now += kStep;
      SubmitSome();
      Deliver();
      for (uint32_t at = 0; at < kCells; ++at) Act(at);
      CheckOneOwner();
    }
  }

  [[nodiscard]] const std::vector<std::string>& Violations() const {
    return m_violations;
  }
  [[nodiscard]] uint64_t Moves() const { return m_moves; }

  /** @return accepted jobs that callers cannot find, with the cells that know
   *  something of them. */
  [[nodiscard]] std::vector<std::string> Unreachable() const {
    std::vector<std::string> lost;
    for (const auto& [id, accepted] : m_accepted) {
      if (IsReachable(id)) continue;
      std::string text = "job " + std::to_string(id.Value()) + " home " +
                         std::to_string(HomeCell({kCells}, id).Value());
      for (uint32_t at = 0; at < kCells; ++at) {
        const SimulatedCell& cell = m_cells[at];
        if (cell.m_rows.m_specs.count(id) > 0)
          text += " in " + std::to_string(at);
        const auto route = cell.m_routes.find(id);
        if (route == cell.m_routes.end()) continue;
        text += " route " + std::to_string(at) + "-" +
                std::to_string(route->second.m_cell.Value());
      }
      lost.push_back(text);
    }
    return lost;
  }

 private:
  [[nodiscard]] bool IsReachable(JobId aJob) const {
    uint32_t at = HomeCell({kCells}, aJob).Value();
    for (int hop = 0; hop < 10; ++hop) {
      const SimulatedCell& cell = m_cells[at];
      if (cell.m_rows.m_specs.count(aJob) > 0) return true;
      const auto route = cell.m_routes.find(aJob);
      if (route == cell.m_routes.end()) return false;
      at = route->second.m_cell.Value();
    }
    return false;
  }

  bool Chance(double aProbability) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) <
           aProbability;
  }
  uint64_t Below(uint64_t aLimit) {
    return std::uniform_int_distribution<uint64_t>(0, aLimit - 1)(m_random);
  }

  static JobSpec SpecOf(JobId aJob) {
    JobSpec spec;
    spec.m_id = aJob;
    spec.m_queue = QueueId("queue");
    spec.m_policy.m_service = ServiceId("pool");
    StepSpec step;
    step.m_count = 2;
    step.m_need = {Millicores(1000), Mebibytes(1), Accelerators()};
    step.m_estimate = seconds(1);
    spec.m_steps.push_back(step);
    return spec;
  }

  /** Callers repeat their job until it is stored. */
  void SubmitSome() {
    for (uint64_t id = 1; id <= kJobs; ++id) {
      const JobId job(id);
      if (m_accepted.count(job) > 0 || !Chance(0.3)) continue;
      const CellId home = HomeCell({kCells}, job);
      SimulatedCell& at = m_cells[home.Value()];
      if (at.m_cell.m_jobs.count(job) > 0 ||
          at.m_cell.m_routes.count(job) > 0) {
        continue;
      }
      if (Chance(0.4)) {
        const CellId target(static_cast<uint32_t>((home.Value() + 1) % kCells));
        RouteJob(at.m_cell, job, target, m_now);
      } else {
        BOOST_REQUIRE(SubmitJob(at.m_cell, SpecOf(job), m_now, {}).has_value());
      }
    }
    // The second hop of a caller, once the route is durable.
    for (SimulatedCell& cell : m_cells) {
      for (const auto& [job, route] : cell.m_routes) {
        const bool usable = route.m_moveCount == 0;
        if (m_accepted.count(job) > 0 || !usable) continue;
        Cell& target = m_cells[route.m_cell.Value()].m_cell;
        if (target.m_jobs.count(job) > 0 || !Chance(0.3)) continue;
        BOOST_REQUIRE(SubmitJob(target, SpecOf(job), m_now, {}).has_value());
      }
    }
  }

  void Send(std::function<void()> aMessage) {
    if (!m_calm && Chance(0.2)) return;
    const int copies = !m_calm && Chance(0.2) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      m_messages.emplace_back(m_now + kStep * static_cast<int64_t>(Below(40)),
                              aMessage);
    }
  }

  void Deliver() {
    std::deque<std::pair<TimePoint, std::function<void()>>> due;
    std::swap(due, m_messages);
    for (auto& [at, message] : due) {
      if (at <= m_now) {
        message();
      } else {
        m_messages.emplace_back(at, std::move(message));
      }
    }
  }

  void Act(uint32_t aAt) {
    SimulatedCell& cell = m_cells[aAt];
    if (!m_calm && Chance(0.03)) TakeOver(cell);
    if (!m_calm && Chance(0.3)) {
      std::vector<CellLoad> loads(kCells);
      for (CellLoad& load : loads) load.m_cores = 100'000;
      loads[aAt].m_short = 5000;
      m_moves += BeginMoves(cell.m_cell, CellId(aAt), loads, m_now);
    }
    for (const MovingJob& move : TakeMovesToSend(cell.m_cell, m_now)) {
      const Job& job = cell.m_cell.m_jobs.at(move.m_job);
      const StoredState state = MovingStateOf(cell.m_cell, job);
      Send([this, aAt, move, state, term = cell.m_term] {
        Arrive(aAt, term, move, state);
      });
    }
    StoreCommit(aAt);
  }

  void Arrive(uint32_t aFrom, uint64_t aTerm, const MovingJob& aMove,
              const StoredState& aState) {
    SimulatedCell& target = m_cells[aMove.m_target.Value()];
    const auto when =
        AdoptJob(target.m_cell, SpecOf(aMove.m_job), aState, m_now, {});
    const bool onlyAnswer =
        !when.has_value() && when.error().m_kind == ErrorKind::JobAlreadyEnded;
    if (onlyAnswer) {
      Answer(aFrom, aTerm, aMove);
      return;
    }
    if (!when) return;
    // Answered once it is durable, when the sender tries again.
    const auto stored = target.m_rows.m_states.find(aMove.m_job);
    if (stored != target.m_rows.m_states.end() &&
        stored->second.m_moveCount >= aState.m_moveCount) {
      Answer(aFrom, aTerm, aMove);
    }
  }

  void Answer(uint32_t aFrom, uint64_t aTerm, const MovingJob& aMove) {
    Send([this, aFrom, aTerm, aMove] {
      SimulatedCell& source = m_cells[aFrom];
      // Answers to an earlier owner's call reach nobody.
      if (source.m_term != aTerm) return;
      CompleteMove(source.m_cell, aMove, m_now);
    });
  }

  void StoreCommit(uint32_t aAt) {
    SimulatedCell& cell = m_cells[aAt];
    if (!HasCommit(cell.m_cell)) return;
    const Commit commit = TakeCommit(cell.m_cell, 4, m_now);
    if (!m_calm && Chance(0.1)) {
      ReturnCommit(cell.m_cell, commit);
      return;
    }
    cell.m_rows.Apply(commit);
    for (const JobWrite& write : commit.m_writes) {
      m_accepted[write.m_job] = true;
    }
    for (const StoredRoute& route : commit.m_routes) {
      cell.m_routes[route.m_job] = route;
    }
    for (const JobId job : commit.m_removedRoutes) cell.m_routes.erase(job);
    // The owner may fail before it learns that the commit is stored.
    if (!m_calm && Chance(0.03)) {
      TakeOver(cell);
      return;
    }
    ApplyCommitted(cell.m_cell, commit, m_now);
  }

  void TakeOver(SimulatedCell& aCell) {
    aCell.m_cell = Cell();
    ++aCell.m_term;
    for (const auto& [job, route] : aCell.m_routes) {
      RestoreRoute(aCell.m_cell, route, m_now);
    }
    for (const auto& [job, spec] : aCell.m_rows.m_specs) {
      RestoreJob(aCell.m_cell, spec, aCell.m_rows.StateOf(job), m_now, {});
    }
  }

  /** At most one cell may place tasks of a job. */
  void CheckOneOwner() {
    std::map<JobId, int> placeable;
    for (const SimulatedCell& cell : m_cells) {
      if (!PendingCountIsExact(cell.m_cell)) {
        m_violations.push_back(
            "the number of pending jobs differs from their states");
      }
      for (const auto& [id, job] : cell.m_cell.m_jobs) {
        const bool queued = std::any_of(
            cell.m_cell.m_queue.begin(), cell.m_cell.m_queue.end(),
            [&id = id](const QueueKey& aKey) { return aKey.m_job == id; });
        // A start follows only once the job is stored.
        if (queued && job.m_specStored) ++placeable[id];
      }
    }
    for (const auto& [id, count] : placeable) {
      if (count > 1) {
        m_violations.push_back("job " + std::to_string(id.Value()) +
                               " may be placed by two cells");
      }
    }
  }

  std::mt19937_64 m_random;
  std::vector<SimulatedCell> m_cells;
  std::deque<std::pair<TimePoint, std::function<void()>>> m_messages;
  std::map<JobId, bool> m_accepted;
  std::vector<std::string> m_violations;
  TimePoint m_now = TimePoint(seconds(1000));
  uint64_t m_moves = 0;
  bool m_calm = false;
};

}  // namespace

/** Guards against a job that two cells schedule at once, or that no cell
 *  knows, after messages and owners were lost in the middle of moves. */
BOOST_AUTO_TEST_CASE(EachJobBelongsToOneCell) {
  uint64_t moves = 0;
  const bool holds = rc::check("moves between cells", [&moves](uint64_t aSeed) {
    MoveSimulation simulation(aSeed);
    simulation.Run(400, 200);
    moves += simulation.Moves();
    RC_ASSERT(simulation.Violations() == std::vector<std::string>());
    RC_ASSERT(simulation.Unreachable() == std::vector<std::string>());
  });
  BOOST_TEST(holds);
  BOOST_TEST(moves > 100U);
}

}  // namespace bronze::sched
