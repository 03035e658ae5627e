/**
 * @file sched_bench.cpp Time of the decisions of a cell's owner: placing one
 * task, the whole cycle of a task with a long queue behind it, and a pass over
 * steps that cannot run.
 */

#include <benchmark/benchmark.h>

#include <algorithm>
#include <ctime>
#include <string>

#include "core/sched/commit_cmd.h"
#include "core/sched/interference_func.h"
#include "core/sched/job_cmd.h"
#include "core/sched/placement_func.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/schedule_cmd.h"

namespace bronze::sched {

namespace {

constexpr int64_t kCores = 64000;
/** Long-running tasks reserve about four fifths of each runner. */
constexpr int kLongRunningPerRunner = 4;

JobSpec SpecOf(uint64_t aId, uint32_t aTasks, int64_t aCores) {
  JobSpec spec;
  spec.m_id = JobId(aId);
  spec.m_queue = QueueId("queue");
  spec.m_policy.m_service = ServiceId("pool");
  spec.m_policy.m_maxAttempts = 4;
  StepSpec step;
  step.m_count = aTasks;
  step.m_need = {Millicores(aCores), Mebibytes(10000), Accelerators()};
  step.m_estimate = milliseconds(1400);
  step.m_image = "image" + std::to_string(aId % 16);
  spec.m_steps.push_back(step);
  return spec;
}

/** A cell whose runners are as full as on the deployments. */
struct BusyCell {
  explicit BusyCell(size_t aRunners) {
    m_cell.m_fence = FencingToken(7);
    m_cell.m_window.m_limit = 1e9;
    for (size_t at = 0; at < aRunners; ++at) {
      RunnerEntry entry;
      entry.m_id = RunnerId("i-" + std::to_string(at));
      entry.m_service = ServiceId("pool");
      entry.m_address = "127.0.0.1:1";
      entry.m_capacity = {Millicores(kCores), Mebibytes(250000),
                          Accelerators()};
      entry.m_labels = {"a", "r1-" + std::to_string(at / 8)};
      entry.m_startedAt = UnixMillis(1);
      Report(UpdateRunner(m_cell, entry, m_now, UnixMillis(1'000'000)), {});
    }
    const auto tasks = static_cast<uint32_t>(aRunners);
    for (uint64_t id = 1; id <= kLongRunningPerRunner; ++id) {
      JobSpec spec = SpecOf(id, tasks, 13000);
      spec.m_steps[0].m_longRunning = true;
      spec.m_steps[0].m_tailTarget = milliseconds(150);
      spec.m_steps[0].m_antiAffinity = 1;
      Submit(spec);
    }
    StartAll();
    for (size_t at = 0; at < aRunners; ++at) Report(RunnerIndex(at), {});
  }

  void Report(RunnerIndex aRunner, std::vector<EndRow> aEnded) {
    const Runner& runner = m_cell.m_runners[aRunner.Value()];
    RunnerReport report;
    report.m_clock = RunnerMillis(m_now.time_since_epoch().count() / 1000);
    report.m_startedAt = UnixMillis(1);
    for (const TaskKey& key : runner.m_tasks) {
      bool ended = false;
      for (const EndRow& end : aEnded) ended = ended || end.m_task == key;
      if (!ended) report.m_running.push_back({key, RunNumber(1), "", 100, 60});
    }
    report.m_ended = std::move(aEnded);
    ApplyReport(m_cell, aRunner, report, m_now, m_now);
  }

  void Submit(const JobSpec& aSpec) {
    static_cast<void>(SubmitJob(m_cell, aSpec, m_now, UnixMillis(1)));
  }

  std::vector<StartOrder> StartAll() {
    PlaceTasks(m_cell, m_now);
    while (HasCommit(m_cell)) {
      ApplyCommitted(m_cell, TakeCommit(m_cell, 98, m_now), m_now);
    }
    std::vector<StartOrder> starts;
    for (const Order& order : m_cell.m_orders) {
      if (const auto* start = std::get_if<StartOrder>(&order)) {
        starts.push_back(*start);
      }
    }
    m_cell.m_orders.clear();
    for (const StartOrder& start : starts) {
      ApplyStartAnswer(m_cell, start, OrderOutcome::Applied, {}, m_now);
    }
    return starts;
  }

  Cell m_cell;
  TimePoint m_now = TimePoint(seconds(1000));
};

/** Placing one short task among the runners. */
void PlaceOneTask(benchmark::State& aState) {
  BusyCell busy(static_cast<size_t>(aState.range(0)));
  const JobSpec spec = SpecOf(1000, 1, 7000);
  PlacementQuery query;
  query.m_step = spec.m_steps.data();
  query.m_service = ServiceId("pool");
  for (auto step : aState) {
    benchmark::DoNotOptimize(ChooseRunner(busy.m_cell, query, busy.m_now));
  }
}
BENCHMARK(PlaceOneTask)->Arg(48)->Arg(350)->Arg(1100)->Arg(3000);

/** One end of a task, its report, and the start of the next one, while a queue
 *  of best-effort tasks waits for room. */
void TaskCycle(benchmark::State& aState) {
  BusyCell busy(static_cast<size_t>(aState.range(0)));
  const auto waiting = static_cast<uint64_t>(aState.range(1));
  for (uint64_t id = 0; id < waiting / 40; ++id) {
    JobSpec spec = SpecOf(2000 + id, 40, 7000);
    spec.m_steps[0].m_bestEffort = true;
    spec.m_policy.m_priority = 2;
    busy.Submit(spec);
  }
  std::vector<StartOrder> running = busy.StartAll();
  std::map<RunnerIndex, EndNumber> ends;
  uint64_t next = 1'000'000;
  for (auto step : aState) {
    if (running.empty()) {
      aState.SkipWithError("nothing runs");
      break;
    }
    busy.m_now += milliseconds(2);
    const StartOrder ended = running.back();
    running.pop_back();
    EndNumber& number = ends[ended.m_runner];
    number = number.Next();
    busy.Report(ended.m_runner,
                {{number, ended.m_task, ended.m_run, EndKind::Done, ""}});
    // A short job replaces it, so that the queue keeps its length.
    busy.Submit(SpecOf(next++, 1, 7000));
    for (StartOrder& start : busy.StartAll()) {
      running.push_back(std::move(start));
    }
    for (uint32_t at = 0; at < busy.m_cell.m_runners.size(); ++at) {
      benchmark::DoNotOptimize(
          NextRenewal(busy.m_cell, RunnerIndex(at), busy.m_now));
    }
  }
}
BENCHMARK(TaskCycle)
    ->Args({48, 400})
    ->Args({220, 2000})
    ->Args({350, 2000})
    ->Args({350, 15000});

/** What keeps the steps of a waiting queue from running. */
enum class Obstacle : uint8_t {
  TooLarge,       ///< For any runner.
  TooLargeApart,  ///< The same, and the steps have anti-affinity.
  AbsentLabel,    ///< Another one for each step.
  Urgent,    ///< Each runner is full of tasks that are not stopped for others.
  NoAdvice,  ///< The advice service does not answer.
  PartialGang,   ///< Only some of the members find room.
  AntiAffinity,  ///< Each runner has a task of the step already.
};

JobSpec UnplaceableSpec(uint64_t aId, Obstacle aObstacle, uint32_t aRunners) {
  JobSpec spec = SpecOf(aId, 1, 7000);
  StepSpec& step = spec.m_steps[0];
  switch (aObstacle) {
    case Obstacle::TooLarge:
      step.m_need.m_cores = Millicores(kCores + 1);
      break;
    case Obstacle::TooLargeApart:
      step.m_need.m_cores = Millicores(kCores + 1);
      step.m_antiAffinity = 1;
      break;
    case Obstacle::AbsentLabel:
      step.m_requiredLabel = "absent-" + std::to_string(aId);
      break;
    case Obstacle::Urgent:
      step.m_need.m_cores = Millicores(kCores);
      spec.m_policy.m_priority = -1;
      break;
    case Obstacle::NoAdvice:
      spec.m_policy.m_advice =
          AdvicePolicy{milliseconds(50), milliseconds(1), milliseconds(3000)};
      break;
    case Obstacle::PartialGang:
      step.m_count = aRunners + 1;
      step.m_gang = true;
      break;
    case Obstacle::AntiAffinity:
      step.m_count = aRunners + 1;
      step.m_need = {Millicores(), Mebibytes(), Accelerators()};
      step.m_antiAffinity = 1;
      break;
  }
  return spec;
}

/** One pass behind steps that cannot run, at the interval at which an owner
 *  repeats it when nothing happens. It reports the processor time
 *  of the longest pass, too. */
void PassAtRest(benchmark::State& aState, Obstacle aObstacle) {
  constexpr Duration kTick = milliseconds(50);
  const auto runners = static_cast<uint32_t>(aState.range(0));
  BusyCell busy(runners);
  const auto waiting = static_cast<uint64_t>(aState.range(1));
  for (uint64_t id = 0; id < waiting; ++id) {
    busy.Submit(UnplaceableSpec(2000 + id, aObstacle, runners));
  }
  // At rest, no task finds room any more.
  for (bool placed = true; placed; busy.m_now += kTick) {
    busy.m_cell.m_window.m_limit = 1e9;
    busy.m_cell.m_capacityChanged = true;
    placed = !busy.StartAll().empty() || busy.m_cell.m_window.m_wasFull;
    busy.m_cell.m_window.m_wasFull = false;
  }
  double longest = 0.0;
  for (auto step : aState) {
    busy.m_now += kTick;
    busy.m_cell.m_capacityChanged = true;
    const std::clock_t begin = std::clock();
    PlaceTasks(busy.m_cell, busy.m_now);
    const auto took = static_cast<double>(std::clock() - begin);
    longest = std::max(longest, took * 1000.0 / CLOCKS_PER_SEC);
    busy.m_cell.m_orders.clear();
  }
  aState.counters["longest_ms"] = longest;
}

void PassAtRestArguments(benchmark::internal::Benchmark* aBenchmark) {
  aBenchmark->ArgsProduct({{48, 350}, {100, 1000, 10000, 20000}})
      ->Unit(benchmark::kMicrosecond)
      ->MinTime(0.1);
}
BENCHMARK_CAPTURE(PassAtRest, too_large, Obstacle::TooLarge)
    ->Apply(PassAtRestArguments);
BENCHMARK_CAPTURE(PassAtRest, too_large_apart, Obstacle::TooLargeApart)
    ->Apply(PassAtRestArguments);
BENCHMARK_CAPTURE(PassAtRest, absent_label, Obstacle::AbsentLabel)
    ->Apply(PassAtRestArguments);
BENCHMARK_CAPTURE(PassAtRest, urgent, Obstacle::Urgent)
    ->Apply(PassAtRestArguments);
BENCHMARK_CAPTURE(PassAtRest, no_advice, Obstacle::NoAdvice)
    ->Apply(PassAtRestArguments);

/** The same in fewer steps, as each has more tasks than there are runners. */
void WideStepArguments(benchmark::internal::Benchmark* aBenchmark) {
  aBenchmark->ArgsProduct({{48}, {100, 400}})
      ->Unit(benchmark::kMicrosecond)
      ->MinTime(0.1);
}
BENCHMARK_CAPTURE(PassAtRest, partial_gang, Obstacle::PartialGang)
    ->Apply(WideStepArguments);
BENCHMARK_CAPTURE(PassAtRest, anti_affinity, Obstacle::AntiAffinity)
    ->Apply(WideStepArguments);

}  // namespace

}  // namespace bronze::sched

BENCHMARK_MAIN();
