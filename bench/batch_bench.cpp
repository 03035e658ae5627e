/**
 * @file batch_bench.cpp Measures batch scheduling.
 *
 * Prints one line per quantity: name, baseline, current value, target. All but
 * decision cost and memory are simulated on a virtual clock with the fakes of
 * the tests, whose workers answer at once; waits are therefore lower bounds.
 */

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <random>
#include <string_view>

#include "batch_world.h"
#include "core/batch/placement_func.h"
#include "core/batch/row_key_func.h"

namespace {

using namespace bronze;

constexpr Resources kWorker{Millicores(32'000), Mebibytes(128'000),
                            Accelerators(0)};

void Print(const std::string& aName, const std::string& aBaseline,
           const std::string& aNow, const std::string& aTarget) {
  fmt::print("{:<52} baseline {:>12}  now {:>12}  target {}\n", aName,
             aBaseline, aNow, aTarget);
  std::fflush(stdout);
}

JobRow MakeJob(const std::string& aTeam, const std::string& aKind,
               uint32_t aTasks, int64_t aCores) {
  JobRow row;
  row.m_spec.m_team = TeamId(aTeam);
  row.m_spec.m_kind = KindId(aKind);
  row.m_spec.m_resources = {Millicores(aCores), Mebibytes(1'000),
                            Accelerators(0)};
  row.m_tasks = aTasks;
  return row;
}

/** @return a rack owner with aWorkers workers that run aTasks tasks. */
RackOwnerState MakePool(int aWorkers, int aTasks) {
  RackOwnerState state;
  BatchEffects effects;
  Counters counters;
  const TimePoint now{seconds(10)};
  const int racks = (aWorkers + 7) / 8;
  std::vector<VmInfo> vms;
  for (int i = 0; i < aWorkers; ++i) {
    VmInfo vm;
    vm.m_id = fmt::format("worker-{:04}", i);
    vm.m_rack = RackId(fmt::format("rack-{:03}", i % racks));
    vm.m_resources = {Millicores(200'000), Mebibytes(2'000'000),
                      Accelerators(0)};
    OwnRack(state, vm.m_rack, effects);
    vms.push_back(vm);
  }
  std::map<RackId, std::vector<RackRecord>> records;
  for (int i = 0; i < aTasks; ++i) {
    const VmInfo& vm = vms[static_cast<size_t>(i % aWorkers)];
    RackRecord record;
    record.m_task = {JobId(static_cast<uint64_t>(i / 20)),
                     static_cast<uint32_t>(i % 20)};
    record.m_row.m_state = TaskState::Running;
    record.m_row.m_worker = WorkerId(vm.m_id);
    record.m_row.m_rack = vm.m_rack;
    record.m_row.m_reserved = {Millicores(100 + i % 7), Mebibytes(100),
                               Accelerators(0)};
    record.m_row.m_checkpoint = ObjectName(fmt::format("checkpoint-{}", i));
    record.m_spec =
        MakeJob(fmt::format("team-{}", i % 300), "sort", 1, 100).m_spec;
    record.m_version = RowVersion(1);
    records[vm.m_rack].push_back(record);
  }
  UseWorkerList(state, vms, now);
  for (const auto& [rack, owned] : std::map(state.m_racks)) {
    RecoverRack(state, rack, records[rack], now, counters, effects);
  }
  for (auto& [id, worker] : state.m_workers) worker.m_reachable = true;
  return state;
}

void MeasurePlacement() {
  constexpr int kDecisions = 4000;
  for (const int workers : {50, 200, 780}) {
    for (const auto& [policy, name] :
         {std::pair{PlacePolicy::Sampled, "sampled"},
          std::pair{PlacePolicy::FullScan, "full scan"},
          std::pair{PlacePolicy::FirstFit, "first fit"}}) {
      RackOwnerState state = MakePool(workers, 15'000);
      state.m_settings.m_placePolicy = policy;
      std::vector<RackDigest> digests = DigestRacks(state);
      Counters counters;
      const auto start = std::chrono::steady_clock::now();
      for (int i = 0; i < kDecisions; ++i) {
        BatchEffects effects;
        TaskOffers offers;
        TaskOffer offer;
        offer.m_task = {JobId(1'000'000 + static_cast<uint64_t>(i)), 0};
        offer.m_team = TeamId("t");
        offer.m_kind = KindId("sort");
        offer.m_resources = {Millicores(50), Mebibytes(50), Accelerators(0)};
        const auto rack =
            ChooseRack(digests, offer.m_resources, policy, state.m_random);
        offers.m_rack = digests[*rack].m_rack;
        offers.m_offers.push_back(std::move(offer));
        OffersArrived(state, offers, TimePoint(seconds(11)), counters, effects);
      }
      const std::chrono::duration<double, std::micro> took =
          std::chrono::steady_clock::now() - start;
      Print(fmt::format("placement, {} workers, {}", workers, name), "-",
            fmt::format("{:.1f} us", took.count() / kDecisions), "100 us");
    }
  }
}

void MeasureMemory() {
  const auto used = [] { return mallinfo2().uordblks; };
  const size_t before = used();
  RackOwnerState empty = MakePool(780, 0);
  const size_t workers = used();
  RackOwnerState full = MakePool(780, 15'000);
  const size_t tasks = used();
  Print("bytes per worker, rack owner", "-",
        fmt::format("{}", (workers - before) / 780), "-");
  Print("bytes per task, rack owner", "-",
        fmt::format("{}", (tasks - workers - (workers - before)) / 15'000),
        "-");
  TeamOwnerState teams;
  BatchEffects effects;
  const TeamShard shard = ShardOf(TeamId("blue"));
  OwnShard(teams, shard, TimePoint(), effects);
  const JobId job = JobIdFor(TeamId("blue"), "x", 0);
  const size_t beforeJob = used();
  const std::vector<JobRecord> jobs = {
      {job, MakeJob("blue", "sort", 15'000, 100), RowVersion(1)}};
  RecoverShard(teams, shard, jobs, {}, TimePoint(), effects);
  Print("bytes per task, team owner", "-",
        fmt::format("{}", (used() - beforeJob) / 15'000), "-");
}

/** @return the run time of the service relative to an idle worker. A "sort"
 * task adds 25 % to "check"; any other pair adds 0.4 %; a throttled task adds
 * half. */
double SlowdownOf(const FakeWorker& aWorker, const std::string& aService) {
  double extra = 0.0;
  for (const auto& [task, run] : aWorker.m_runs) {
    if (run.m_state != WorkerTaskState::Running) continue;
    const double share = run.m_usage.m_cores < run.m_size.m_cores ? 0.5 : 1.0;
    const bool strong = aService == "check" && run.m_kind == KindId("sort");
    extra += share * (strong ? 0.25 : 0.004);
  }
  return 1.0 + extra;
}

/** @return "check" on about two of three workers, "plan" on the others. */
std::string ServiceOn(const FakeWorker& aWorker) {
  return std::hash<std::string>()(aWorker.m_info.m_id) % 3 == 0 ? "plan"
                                                                : "check";
}

struct MixResult {
  double m_perMinute = 0.0;
  double m_sortPerMinute = 0.0;  ///< Tasks of the interfering kind.
  double m_tail = 0.0;           ///< 99th percentile of service slowdowns.
  double m_evictionsPerFinish = 0.0;
};

MixResult RunMix(int64_t aShare, PlacePolicy aPolicy, bool aModel,
                 bool aHysteresis, double aNoise) {
  BatchWorld world(6, 4, kWorker);
  world.m_check = false;
  world.m_runTime = seconds(20);
  world.m_usageOf = [](TaskId, const WorkerStart& aStart) {
    return aStart.m_resources;
  };
  std::mt19937 random(5);
  std::normal_distribution<double> noise(0.0, aNoise);
  world.m_onReport = [&](const FakeWorker& aWorker, WorkerReport& aReport) {
    const std::string service = ServiceOn(aWorker);
    const double noisy = SlowdownOf(aWorker, service) + noise(random);
    aReport.m_slowdowns.emplace_back(KindId(service), std::max(noisy, 1.0));
  };
  FakeDaemon& daemon = world.AddDaemon();
  daemon.m_racks.m_settings.m_batchSharePercent = aShare;
  daemon.m_teams.m_settings.m_batchSharePercent = aShare;
  daemon.m_racks.m_settings.m_placePolicy = aPolicy;
  daemon.m_teams.m_settings.m_placePolicy = aPolicy;
  daemon.m_racks.m_useInterference = aModel;
  daemon.m_racks.m_hysteresis = aHysteresis;
  world.RunFor(seconds(2));
  const char* const kinds[] = {"sort", "scan", "pack"};
  for (int i = 0; i < 90; ++i) {
    daemon.Submit(
        MakeJob(fmt::format("team{}", i % 30), kinds[i % 3], 100, 2'000));
  }
  world.RunFor(seconds(60));  // Time for the interference model to learn.
  const auto finished = [&] {
    return ValueOf(daemon.m_counters, CounterId::TasksFinished);
  };
  const uint64_t before = finished();
  const int sortBefore = world.m_finishesOfKind[KindId("sort")];
  const uint64_t evictions = world.m_evictions;
  std::vector<double> slowdowns;
  for (int i = 0; i < 120; ++i) {
    world.RunFor(seconds(1));
    for (const auto& [id, worker] : world.m_workers) {
      slowdowns.push_back(SlowdownOf(worker, ServiceOn(worker)));
    }
  }
  std::sort(slowdowns.begin(), slowdowns.end());
  MixResult result;
  const auto done = static_cast<double>(finished() - before);
  result.m_perMinute = done / 2.0;
  result.m_sortPerMinute =
      (world.m_finishesOfKind[KindId("sort")] - sortBefore) / 2.0;
  result.m_tail = slowdowns[slowdowns.size() * 99 / 100];
  result.m_evictionsPerFinish =
      static_cast<double>(world.m_evictions - evictions) / std::max(done, 1.0);
  return result;
}

/** @return the highest throughput with a service slowdown p99 up to aTail. */
MixResult BestBelow(double aTail, PlacePolicy aPolicy, bool aModel) {
  MixResult best;
  for (const int64_t share : {10, 20, 30, 40, 50, 60, 70, 80}) {
    const MixResult result = RunMix(share, aPolicy, aModel, true, 0.05);
    if (result.m_tail <= aTail && result.m_perMinute > best.m_perMinute) {
      best = result;
    }
  }
  return best;
}

void MeasureMix() {
  constexpr double kTail = 1.6;
  const MixResult plain = BestBelow(kTail, PlacePolicy::FirstFit, false);
  const MixResult model = BestBelow(kTail, PlacePolicy::Sampled, true);
  Print(
      "batch tasks/min, service slowdown p99 <= 1.6",
      fmt::format("{:.0f}", plain.m_perMinute),
      fmt::format(
          "{:.0f} ({:.2f}x)", model.m_perMinute,
          plain.m_perMinute > 0 ? model.m_perMinute / plain.m_perMinute : 0.0),
      "1.2x");
  Print("  of these, tasks/min of the interfering kind",
        fmt::format("{:.0f}", plain.m_sortPerMinute),
        fmt::format("{:.0f}", model.m_sortPerMinute), "not lower");
  const MixResult without = RunMix(70, PlacePolicy::Sampled, true, false, 0.15);
  const MixResult with = RunMix(70, PlacePolicy::Sampled, true, true, 0.15);
  Print("evictions per finished task (baseline: no hysteresis)",
        fmt::format("{:.4f}", without.m_evictionsPerFinish),
        fmt::format("{:.4f}", with.m_evictionsPerFinish), "lower");
}

void AddDaemons(BatchWorld& aWorld, size_t aCount) {
  aWorld.m_partitions = aCount;
  for (size_t i = 0; i < aCount; ++i) aWorld.AddDaemon(i == 0);
  aWorld.RunFor(seconds(2));
}

FakeDaemon& OwnerOfTeam(BatchWorld& aWorld, const std::string& aTeam) {
  return aWorld.OwnerOf(ShardOf(TeamId(aTeam)).m_value);
}

void MeasureFairness() {
  BatchWorld world(24, 8, kWorker);
  world.m_check = false;
  std::mt19937 random(3);
  world.m_runTimeOf = [&](TaskId, const WorkerStart&) {
    return Duration(milliseconds(4000 + random() % 8000));
  };
  AddDaemons(world, 9);
  for (int team = 0; team < 300; ++team) {
    const std::string name = fmt::format("team-{}", team);
    OwnerOfTeam(world, name).Submit(MakeJob(name, "sort", 600, 2'000));
  }
  world.RunFor(seconds(30));
  std::map<TeamId, double> use;
  for (int i = 0; i < 120; ++i) {
    world.RunFor(milliseconds(500));
    for (const auto& daemon : world.m_daemons) {
      for (const auto& [id, held] : daemon->m_racks.m_tasks) {
        if (held.m_row.m_state != TaskState::Running) continue;
        use[held.m_spec.m_team] += 1.0;
      }
    }
  }
  double sum = 0.0;
  double squares = 0.0;
  for (int team = 0; team < 300; ++team) {
    const double value = use[TeamId(fmt::format("team-{}", team))];
    sum += value;
    squares += value * value;
  }
  Print("Jain's index of 300 teams, 9 daemons", "-",
        fmt::format("{:.3f}", sum * sum / (300 * squares)), "0.95");
  // 192 workers with room for 11 batch tasks each.
  Print("tasks running in the full pool, of 2112", "-",
        fmt::format("{:.0f}", sum / 120), "-");
}

void MeasureUrgent() {
  BatchWorld world(24, 8, kWorker);
  world.m_check = false;
  world.m_runTime = seconds(600);
  AddDaemons(world, 9);
  for (int team = 0; team < 60; ++team) {
    const std::string name = fmt::format("team-{}", team);
    OwnerOfTeam(world, name).Submit(MakeJob(name, "sort", 60, 2'000));
  }
  world.RunFor(seconds(60));
  std::map<TaskId, TimePoint> waiting;
  std::vector<double> waits;
  for (int i = 0; i < 600; ++i) {
    if (i < 400) {
      const std::string name = fmt::format("hurry-{}", i % 50);
      FakeDaemon& owner = OwnerOfTeam(world, name);
      JobRow job = MakeJob(name, "sort", 1, 2'000);
      job.m_spec.m_urgent = true;
      job.m_submissionId = fmt::format("{}", i);
      owner.Submit(job);
      waiting[{JobIdFor(TeamId(name), job.m_submissionId, 0), 0}] = world.m_now;
    }
    for (int step = 0; step < 2; ++step) {
      world.RunFor(milliseconds(50));
      std::erase_if(waiting, [&](const auto& aItem) {
        const auto row = world.RowOf(aItem.first);
        if (!row || row->m_state != TaskState::Running) return false;
        const std::chrono::duration<double> wait = world.m_now - aItem.second;
        waits.push_back(wait.count());
        return true;
      });
    }
  }
  std::sort(waits.begin(), waits.end());
  Print(fmt::format("urgent wait p99 in a full pool, {} of 400", waits.size()),
        "-",
        waits.empty() ? "none"
                      : fmt::format("{:.2f} s", waits[waits.size() * 99 / 100]),
        "9.1 s");
}

void MeasureWrites() {
  BatchWorld world(98, 8, kWorker);
  world.m_check = false;
  world.m_runTime = seconds(10);
  AddDaemons(world, 27);
  // 12 jobs of 4 tasks every 100 ms: 480 starts per second, for 30 s.
  std::vector<std::string> teams;
  teams.reserve(300);
  for (int team = 0; team < 300; ++team) {
    teams.push_back(fmt::format("team-{}", team));
  }
  uint64_t job = 0;
  const auto feed = [&](int aSeconds) {
    for (int i = 0; i < aSeconds * 10; ++i) {
      for (int k = 0; k < 12; ++k) {
        const std::string& name = teams[job++ % teams.size()];
        OwnerOfTeam(world, name).Submit(MakeJob(name, "sort", 4, 1'000));
      }
      world.RunFor(milliseconds(100));
    }
  };
  feed(15);
  const uint64_t commits = world.m_table.m_commits;
  const uint64_t starts = world.m_starts;
  const uint64_t bytes = world.m_table.m_bytes;
  feed(15);
  Print(fmt::format("table writes/s at {} starts/s, 27 daemons",
                    (world.m_starts - starts) / 15),
        "-", fmt::format("{}", (world.m_table.m_commits - commits) / 15),
        "150");
  Print("  bytes/s of keys and texts in commits, per daemon", "-",
        fmt::format("{}", (world.m_table.m_bytes - bytes) / 15 / 27), "-");
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<std::string_view, void (*)()> measures[] = {
      {"placement", MeasurePlacement},
      {"memory", MeasureMemory},
      {"mix", MeasureMix},
      {"fairness", MeasureFairness},
      {"urgent", MeasureUrgent},
      {"writes", MeasureWrites}};
  for (const auto& [name, measure] : measures) {
    if (argc < 2 || name == argv[1]) measure();
  }
  return 0;
}
