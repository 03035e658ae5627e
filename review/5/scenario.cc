/**
 * @file scenario.cc A task that always fails, after its starts were refused
 * for some seconds.
 */

#include "../standin/standin.hh"

namespace {

using namespace review;

constexpr int kAttempts = 3;

asio::awaitable<int> Scenario(asio::io_context& aIo, bool aTrouble) {
  auto& where = *new Deployment(aIo, 3, "steppe-stitch");
  where.PutConfig(1, kAttempts);
  // 48 runners, four of them of a kind of their own.
  for (int at = 1; at <= 48; ++at) {
    where.AddRunner({.m_id = "i-" + std::to_string(at),
                     .m_rack = "r1-" + std::to_string(at / 8),
                     .m_kind = at <= 4 ? "b" : "a"});
  }
  if (!co_await where.Begin()) co_return 2;
  co_await Sleep(3000);
  const Json step = {{"count", 1},
                     {"cpu", 2000},
                     {"mem_mb", 256},
                     {"estimate_ms", 300},
                     {"requires", "b"}};
  const Json job = {{"spec", "300 failed"}, {"steps", Json::array({step})}};
  const std::string id = "00000000000000d1";
  if (aTrouble) {
    // Four of 48 runners, for 6.5 s: share 0.085 and for_s 6.5 are allowed.
    Record("four runners answer each start with 503");
    for (size_t at = 0; at < 4; ++at) where.m_runners[at]->m_sheds = true;
  }
  if (!co_await where.SubmitUntilAccepted(id, job)) co_return 2;
  co_await Sleep(6400);
  uint64_t shed = 0;
  for (const auto& runner : where.m_runners) {
    runner->m_sheds = false;
    shed += runner->m_shed;
  }
  Record("the runners are healthy, starts answered with 503: " +
         std::to_string(shed));
  for (int at = 0; at < 10; ++at) {
    co_await Sleep(2000);
    (void)co_await where.LookUp(0, id);
  }
  const auto breaks = where.m_book.CheckBudget(kAttempts);
  for (const std::string& line : breaks) Record(line);
  Record("rule BUDGET was broken " + std::to_string(breaks.size()) + " times");
  co_return breaks.empty() ? 0 : 1;
}

}  // namespace

int main() { return review::RunCase(Scenario); }
