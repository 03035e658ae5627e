/**
 * @file case.cpp A wide scheduled job while all machines lose power.
 *
 * A client hands in one scheduled job of 8 times 1,500 tasks that save their
 * progress, and some small jobs. With the disruption, all processes of the
 * scheduler are killed for 9.5 s. The case fails if accepted jobs have nothing
 * running long after the processes are back, although nearly all cores are
 * free.
 */

#include <set>

#include "../standin-2/deployment.h"

namespace {

using namespace review;

constexpr size_t kRunners = 48;
constexpr int64_t kMillicores = 64000;
constexpr int64_t kMemoryMb = 256000;
constexpr size_t kNodes = 3;
constexpr int kTimes = 8;
constexpr int64_t kIntervalMs = 2000;
constexpr int kTasks = 1500;
constexpr int64_t kWideMillicores = 100;
constexpr int64_t kWideMemoryMb = 100;
constexpr int64_t kWideMs = 40000;
constexpr int kSmallJobs = 20;
constexpr int kSmallTasks = 2;
constexpr int64_t kSmallMillicores = 4600;
constexpr int64_t kSmallMs = 45000;
/** From the start of the wide job to the disruption. */
constexpr int64_t kBeforeMs = 22000;
constexpr int64_t kDarkMs = 9500;
/** From the return of the processes to the check; recovery_s is 12 and
 *  finish_s is 14. */
constexpr int64_t kAfterMs = 40000;
constexpr int64_t kIdleMs = 3000;

Json JobOf(int aTasks, int64_t aMillicores, int64_t aMemoryMb, int64_t aMs) {
  const Json spec = {{"ms", aMs},
                     {"cpu", aMillicores},
                     {"mem_mb", aMemoryMb},
                     {"saves", true}};
  return {{"spec", spec.dump()},
          {"steps",
           {{{"count", aTasks},
             {"cpu", aMillicores},
             {"mem_mb", aMemoryMb},
             {"estimate_ms", aMs},
             {"saves_progress", true}}}}};
}

struct Progress {
  size_t m_done = 0;
  bool m_atWork = false;  ///< Some task of it has run since the time asked for.
};

Progress ProgressOf(Deployment& aDeployment, const std::string& aId,
                    int64_t aSince) {
  Progress progress;
  std::set<std::string> done;
  for (const RunRecord& run : aDeployment.Runs().All()) {
    if (run.m_task.compare(0, aId.size(), aId) != 0) continue;
    if (run.m_how == "done") done.insert(run.m_task);
    if (run.m_endedAt == 0 || run.m_endedAt >= aSince) progress.m_atWork = true;
  }
  progress.m_done = done.size();
  return progress;
}

int Play(Deployment& aDeployment, Record& aRecord) {
  const Route route{"r-73d3zji", "ficu95.example", "/pufi791/", 2};
  aDeployment.StartPlatform(kRunners, kMillicores, kMemoryMb);
  aDeployment.PutConfig({route});
  if (!aDeployment.StartNodes(kNodes)) return kCouldNotRun;
  SleepMillis(5000);

  std::map<std::string, size_t> accepted;  // Tasks by id.
  const std::string wide = JobIdOf(1);
  Json job = JobOf(kTasks, kWideMillicores, kWideMemoryMb, kWideMs);
  job["max_runs"] = kTimes;
  job["start_time_ms"] = UnixMillis() + 500;
  job["interval_ms"] = kIntervalMs;
  if (!aDeployment.Submit(route, wide, job)) return kCouldNotRun;
  accepted[wide] = static_cast<size_t>(kTasks) * kTimes;
  aRecord.Line(
      Text("job ", wide, " accepted, ", kTimes, " times ", kTasks, " tasks"));
  const int64_t begin = SteadyMillis();
  for (int at = 0; at < kSmallJobs; ++at) {
    const std::string id = JobIdOf(100 + at);
    const Json small =
        JobOf(kSmallTasks, kSmallMillicores, kSmallMillicores, kSmallMs);
    if (aDeployment.Submit(route, id, small)) {
      accepted[id] = kSmallTasks;
      aRecord.Line(Text("job ", id, " accepted, ", kSmallTasks, " tasks"));
    }
  }
  SleepMillis(begin + kBeforeMs - SteadyMillis());
  aRecord.Line(Text("cores in use ", aDeployment.UsedShare() * 100.0, " %"));
  if (HasTrouble()) {
    for (Node& node : aDeployment.Nodes()) aDeployment.End(node, SIGKILL);
    SleepMillis(kDarkMs);
    for (Node& node : aDeployment.Nodes()) aDeployment.Begin(node);
  }
  SleepMillis(kAfterMs);

  const int64_t since = SteadyMillis();
  double mostUsed = 0.0;
  while (SteadyMillis() - since < kIdleMs) {
    mostUsed = std::max(mostUsed, aDeployment.UsedShare());
    SleepMillis(50);
  }
  int idle = 0;
  for (const auto& [id, tasks] : accepted) {
    const Progress progress = ProgressOf(aDeployment, id, since);
    const bool stuck = progress.m_done < tasks && !progress.m_atWork;
    if (stuck) ++idle;
    aRecord.Line(Text("job ", id, " tasks done ", progress.m_done, " of ",
                      tasks, stuck ? ", nothing of it has run for 3 s" : "",
                      "; GET -> ", aDeployment.StateOf(route, id)));
  }
  const Reply later = aDeployment.ClientCall(
      aDeployment.Nodes().front(), "POST", route, JobIdOf(999),
      JobOf(1, kSmallMillicores, kSmallMillicores, 1000).dump());
  aRecord.Line(Text("a new job -> ", later.m_status));
  aRecord.Line(Text("jobs that could run and did not: ", idle, " of ",
                    accepted.size(), "; cores in use at most ",
                    static_cast<int>(mostUsed * 100.0),
                    " %; transactions that the store refused as too large: ",
                    aDeployment.TheStore().m_tooLarge, ", largest row ",
                    aDeployment.TheStore().m_largestRefused, " bytes"));
  return idle > 0 && mostUsed < 0.5 ? kBroken : kHeld;
}

}  // namespace

int main(int aCount, char** aArguments) { RunCase(aCount, aArguments, Play); }
