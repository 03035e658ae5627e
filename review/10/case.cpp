/**
 * @file case.cpp A task that always fails, after some runners refused it.
 *
 * Most runners are in use. With the disruption, the others answer all starts
 * with 503 for 6 s. Meanwhile a client hands in a job whose task fails each
 * time. The case fails if the task is started again after it has failed as
 * often as the queue allows.
 */

#include "../standin-2/deployment.h"

namespace {

using namespace review;

constexpr size_t kRunners = 48;
constexpr int64_t kMillicores = 64000;
constexpr int64_t kMemoryMb = 256000;
constexpr size_t kNodes = 3;
/** Runners that are unhealthy for a while: a tenth. */
constexpr size_t kUnhealthy = 5;
constexpr int64_t kUnhealthyMs = 6000;
constexpr int64_t kBusyMs = 90000;
constexpr int64_t kTaskMillicores = 4600;
constexpr int64_t kTaskMs = 300;
constexpr int64_t kAfterMs = 30000;

Json JobOf(size_t aTasks, int64_t aMillicores, int64_t aMs, bool aFails) {
  const Json spec = {{"ms", aMs},
                     {"cpu", aMillicores},
                     {"mem_mb", aMillicores},
                     {"fails", aFails}};
  return {{"spec", spec.dump()},
          {"steps",
           {{{"count", aTasks},
             {"cpu", aMillicores},
             {"mem_mb", aMillicores},
             {"estimate_ms", aMs}}}}};
}

int Play(Deployment& aDeployment, Record& aRecord) {
  const Route route{"r-3hwrr6x", "nony24.example", "/lohu930/", 0};
  aDeployment.StartPlatform(kRunners, kMillicores, kMemoryMb);
  aDeployment.PutConfig({route});
  if (!aDeployment.StartNodes(kNodes)) return kCouldNotRun;
  SleepMillis(5000);

  const std::string busy = JobIdOf(1);
  const Json work = JobOf(kRunners - kUnhealthy, kMillicores, kBusyMs, false);
  if (!aDeployment.Submit(route, busy, work)) return kCouldNotRun;
  SleepMillis(3000);
  std::vector<Runner*> idle;
  for (const auto& runner : aDeployment.Runners()) {
    if (runner->UsedMillicores() == 0) idle.push_back(runner.get());
  }
  if (idle.size() != kUnhealthy) return kCouldNotRun;

  if (HasTrouble()) {
    for (Runner* runner : idle) runner->m_refusesStarts = true;
    aRecord.Line(Text("unhealthy runners ", idle.size(), " of ", kRunners));
  }
  const std::string failing = JobIdOf(2);
  const Json job = JobOf(1, kTaskMillicores, kTaskMs, true);
  if (!aDeployment.Submit(route, failing, job)) return kCouldNotRun;
  aRecord.Line(Text("job ", failing, " accepted, its task fails each time"));
  SleepMillis(kUnhealthyMs);
  int refused = 0;
  for (Runner* runner : idle) {
    runner->m_refusesStarts = false;
    refused += runner->RefusedStarts();
  }
  aRecord.Line(Text("all runners are healthy; starts refused: ", refused));
  SleepMillis(kAfterMs);

  int failed = 0;
  int startedAfter = 0;
  for (const RunRecord& run : aDeployment.Runs().All()) {
    if (run.m_task.compare(0, failing.size(), failing) != 0) continue;
    if (failed >= kMaxAttempts) ++startedAfter;
    aRecord.Line(Text("run ", run.m_run, " of ", run.m_task, " on ",
                      run.m_runner, " began at ",
                      aRecord.SecondsAt(run.m_startedAt), " s: ", run.m_how));
    if (run.m_how == "failed") ++failed;
  }
  size_t listed = 0;
  for (Runner* runner : idle) listed += runner->ListedEnds();
  aRecord.Line(Text("ends that were not taken note of: ", listed));
  aRecord.Line(
      Text("GET ", failing, " -> ", aDeployment.StateOf(route, failing)));
  aRecord.Line(Text("runs that failed: ", failed, ", allowed: ", kMaxAttempts,
                    "; starts after these: ", startedAfter));
  return startedAfter > static_cast<int>(listed) ? kBroken : kHeld;
}

}  // namespace

int main(int aCount, char** aArguments) { RunCase(aCount, aArguments, Play); }
