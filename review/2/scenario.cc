/**
 * @file scenario.cc An owner that wakes up renews a lease, and the end of that
 * lease which its successors know is earlier.
 */

#include <signal.h>

#include "../standin/standin.hh"

namespace {

using namespace review;

/** Cut off for 5.5 s, twice, and two owners frozen for 4 s each. */
asio::awaitable<void> Disrupt(Deployment& aWhere, Runner& aRunner,
                              Node& aFirst) {
  const int64_t begin = Now();
  const auto until = [begin](int64_t aMs) {
    return Sleep(begin + aMs - Now());
  };
  co_await until(1200);
  aRunner.SetCut(true);
  co_await until(4000);
  aFirst.Kill(SIGCONT);
  co_await until(6500);
  Node* second = aWhere.FindOwner();
  second->Kill(SIGSTOP);
  co_await until(6700);
  aRunner.SetCut(false);
  co_await until(7300);
  aRunner.SetCut(true);
  co_await until(10500);
  second->Kill(SIGCONT);
  co_await until(12800);
  aRunner.SetCut(false);
}

asio::awaitable<int> Scenario(asio::io_context& aIo, bool aTrouble) {
  auto& where = *new Deployment(aIo, 3, "steppe-stitch");
  where.PutConfig(1, 3);
  // Twelve runners, two of them of a kind of their own.
  for (int at = 1; at <= 12; ++at) {
    where.AddRunner({.m_id = "i-" + std::to_string(at),
                     .m_rack = "r1-" + std::to_string(at / 4),
                     .m_kind = at <= 2 ? "b" : "a"});
  }
  if (!co_await where.Begin()) co_return 2;
  co_await Sleep(3000);
  Json lasting = {{"count", 1},      {"cpu", 2000},
                  {"mem_mb", 256},   {"estimate_ms", 500},
                  {"requires", "b"}, {"long_running", true}};
  const std::string lastingId = "00000000000000f1";
  const Json lastingJob = {{"spec", "500 done"},
                           {"steps", Json::array({lasting})}};
  if (!co_await where.SubmitUntilAccepted(lastingId, lastingJob)) co_return 2;
  const auto& runs = where.m_book.m_byTask[lastingId + ".0.0.0"];
  while (runs.empty()) co_await Sleep(20);
  Runner& runner = *where.m_runners[runs.front()->m_runner == "i-1" ? 0 : 1];
  co_await Sleep(3000);
  // Short tasks beside it. Their end is being stored when the owner freezes.
  const Json brief = {{"count", 2},      {"cpu", 1000},
                      {"mem_mb", 128},   {"estimate_ms", 300},
                      {"requires", "b"}, {"anti_affinity", 1}};
  const std::string briefId = "00000000000000f2";
  Node* first = where.FindOwner();
  bool isFrozen = false;
  if (aTrouble) {
    where.m_store->m_onTransaction = [&, first](const Json& aBody) {
      const auto& brief = where.m_book.m_byTask;
      for (int at = 0; at < 2 && !isFrozen; ++at) {
        const auto task = brief.find(briefId + ".0.0." + std::to_string(at));
        if (task == brief.end() || task->second.empty()) return true;
        if (task->second.front()->m_endedAt < 0) return true;
      }
      for (const Json& put : aBody.at("put")) {
        if (isFrozen || put.at("key") != briefId) continue;
        isFrozen = true;
        first->Kill(SIGSTOP);
        asio::co_spawn(aIo, Disrupt(where, runner, *first), asio::detached);
      }
      return true;
    };
  }
  const Json briefJob = {{"spec", "300 done"}, {"steps", Json::array({brief})}};
  if (!co_await where.SubmitUntilAccepted(briefId, briefJob)) co_return 2;
  co_await Sleep(20000);
  const auto breaks = where.m_book.CheckTwice();
  for (const std::string& line : breaks) Record(line);
  Record("rule TWICE was broken " + std::to_string(breaks.size()) + " times");
  if (aTrouble && !isFrozen) co_return 2;
  co_return breaks.empty() ? 0 : 1;
}

}  // namespace

int main() { return review::RunCase(Scenario); }
