/**
 * @file scenario.cc More ends wait on a runner than it lists at a time.
 */

#include <signal.h>

#include "../standin/standin.hh"

namespace {

using namespace review;

asio::awaitable<int> Scenario(asio::io_context& aIo, bool aTrouble) {
  auto& where = *new Deployment(aIo, 3, "steppe-stitch");
  where.PutConfig(1, 3);
  for (int at = 1; at <= 4; ++at) {
    where.AddRunner({.m_id = "i-" + std::to_string(at),
                     .m_rack = "r1-" + std::to_string(at)});
  }
  if (!co_await where.Begin()) co_return 2;
  co_await Sleep(3000);
  // 2,400 small tasks, 0.1 cores each: 600 for each of four runners.
  const Json step = {
      {"count", 600}, {"cpu", 100}, {"mem_mb", 64}, {"estimate_ms", 5000}};
  const Json job = {{"spec", "5000 done"}, {"steps", Json::array({step})}};
  std::vector<std::string> ids;
  for (int at = 1; at <= 4; ++at) {
    ids.push_back("00000000000000b" + std::to_string(at));
    if (!co_await where.SubmitUntilAccepted(ids.back(), job)) co_return 2;
  }
  const int64_t until = Now() + 4000;
  while (where.m_book.m_runs.size() < 2400 && Now() < until) {
    co_await Sleep(20);
  }
  Record("tasks running: " + std::to_string(where.m_book.m_runs.size()));
  if (aTrouble) {
    // Most tasks end while the cell has no owner.
    Node* owner = where.FindOwner();
    const int64_t first = where.m_book.m_runs.front()->m_startedAt;
    while (Now() < first + 4900) co_await Sleep(10);
    owner->Kill(SIGKILL);
    co_await Sleep(3000);
    owner->Start();
  }
  co_await Sleep(20000);
  size_t longest = 0;
  for (const auto& runner : where.m_runners) {
    longest = std::max(longest, runner->m_longestList);
  }
  Record("most ends that waited on one runner: " + std::to_string(longest));
  Record("starts: " + std::to_string(where.m_book.m_runs.size()));
  for (const std::string& id : ids) (void)co_await where.LookUp(0, id);
  const auto breaks = where.m_book.CheckTwice();
  for (const std::string& line : breaks) Record(line);
  Record("rule TWICE was broken " + std::to_string(breaks.size()) + " times");
  co_return breaks.empty() ? 0 : 1;
}

}  // namespace

int main() { return review::RunCase(Scenario); }
