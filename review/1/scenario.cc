/**
 * @file scenario.cc A timed job whose task was given up with a runner's lease,
 * and whose end arrives while the task still waits for a runner.
 */

#include <signal.h>

#include "../standin/standin.hh"

namespace {

using namespace review;

/** The platform restarts a process that has ended, after a short delay. */
asio::awaitable<void> KeepRunning(Deployment& aWhere,
                                  std::map<std::string, int>& aEnds) {
  while (true) {
    co_await Sleep(50);
    for (const auto& node : aWhere.m_nodes) {
      if (!node->HasEnded()) continue;
      ++aEnds[node->Name()];
      co_await Sleep(500);
      node->Start();
    }
  }
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

asio::awaitable<int> Scenario(asio::io_context& aIo, bool aTrouble) {
  auto& where = *new Deployment(aIo, 3, "kahurangi-registry");
  auto& ends = *new std::map<std::string, int>;
  where.PutConfig(1, 3);
  // Six runners, one of them of another kind.
  for (int at = 1; at <= 6; ++at) {
    where.AddRunner({.m_id = "i-" + std::to_string(at),
                     .m_rack = "r1-1",
                     .m_kind = at == 1 ? "b" : "a"});
  }
  if (!co_await where.Begin()) co_return 2;
  asio::co_spawn(aIo, KeepRunning(where, ends), asio::detached);
  co_await Sleep(3000);
  const Json step = {{"count", 1},
                     {"cpu", 2000},
                     {"mem_mb", 256},
                     {"estimate_ms", 3000},
                     {"requires", "b"}};
  const Json timed = {{"spec", "3000 done"},
                      {"steps", Json::array({step})},
                      {"max_runs", 3},
                      {"start_time_ms", UnixMs() + 1500},
                      {"interval_ms", 8000}};
  const std::string timedId = "00000000000000a1";
  if (!co_await where.SubmitUntilAccepted(timedId, timed)) co_return 2;
  const std::string task = timedId + ".0.0.0";
  while (where.m_book.m_byTask[task].empty()) co_await Sleep(20);
  co_await Sleep(800);
  if (aTrouble) {
    // One runner of six, for 5.5 s: share 0.17 and for_s 5.5 are allowed.
    where.m_runners[0]->SetCut(true);
    co_await Sleep(5500);
    where.m_runners[0]->SetCut(false);
  } else {
    co_await Sleep(5500);
  }
  // An ordinary job, handed in as the pages tell until it is accepted.
  const Json plainStep = {
      {"count", 2}, {"cpu", 1000}, {"mem_mb", 128}, {"estimate_ms", 500}};
  const Json plain = {{"spec", "500 done"},
                      {"steps", Json::array({plainStep})}};
  const std::string plainId = "00000000000000a2";
  const bool accepted = co_await where.SubmitUntilAccepted(plainId, plain);
  Record(accepted ? "the ordinary job is accepted"
                  : "the ordinary job was never accepted");
  // The traffic ends here. The timed job's second occurrence is due 8 s after
  // its first, and takes 3 s. More than finish_s later, jobs are asked for.
  co_await Sleep(25000);
  std::map<std::string, size_t> answers;
  for (size_t at = 0; at < 6; ++at) {
    for (const std::string& id : {timedId, plainId}) {
      const HttpAnswer answer =
          co_await where.LookUp(at % where.m_nodes.size(), id, 3000);
      if (answer.m_status == 200) ++answers[id];
    }
    co_await Sleep(500);
  }
  int machines = 0;
  for (const auto& [name, count] : ends) {
    Record("processes that ended by themselves on " + name + ": " +
           std::to_string(count));
    if (count >= 3) ++machines;
  }
  // Either of the two breaks rule LOST.
  const bool unknown =
      answers[timedId] == 0 || (accepted && answers[plainId] == 0);
  const bool idle = where.m_book.m_byTask[timedId + ".1.0.0"].empty();
  if (unknown) Record("LOST: an accepted job gets no answer");
  if (idle) {
    Record(
        "LOST: the timed job's second occurrence has been due for over 20 s,"
        " and nothing of it runs though its runner is free");
  }
  if (machines >= 2) {
    Record("Fault: three ends by themselves on " + std::to_string(machines) +
           " machines");
  }
  co_return unknown || idle ? 1 : 0;
}

}  // namespace

int main() { return review::RunCase(Scenario); }
