/**
 * @file scenario.cc The owner of the cell is killed right after it has stored
 * a job that another VM has passed on to it.
 */

#include <signal.h>

#include "../standin/standin.hh"

namespace {

using namespace review;

std::string IdOf(uint64_t aNumber) {
  char text[17];
  snprintf(text, sizeof text, "%016llx",
           static_cast<unsigned long long>(aNumber));
  return text;
}

Json SmallJob(int aMs) {
  const Json step = {
      {"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", aMs}};
  return {{"spec", std::to_string(aMs) + " done"},
          {"steps", Json::array({step})}};
}

asio::awaitable<int> Scenario(asio::io_context& aIo, bool aTrouble) {
  auto& where = *new Deployment(aIo, 3, "steppe-stitch");
  where.PutConfig(1, 3);
  for (int at = 1; at <= 6; ++at) {
    where.AddRunner({.m_id = "i-" + std::to_string(at),
                     .m_rack = "r1-" + std::to_string(at)});
  }
  if (!co_await where.Begin()) co_return 2;
  co_await Sleep(3000);
  if (!co_await where.SubmitUntilAccepted(IdOf(0xb0000), SmallJob(300))) {
    co_return 2;
  }
  int broken = 0;
  int refused = 0;
  for (uint64_t round = 1; round <= 8 && broken == 0; ++round) {
    Node* owner = where.FindOwner();
    size_t entry = 0;
    while (where.m_nodes[entry].get() == owner) ++entry;
    const std::string id = IdOf(0xc0000 + round);
    if (aTrouble) {
      where.m_store->m_onTransaction = [owner, id](const Json& aBody) {
        if (!owner->IsRunning()) return true;
        for (const Json& put : aBody.at("put")) {
          if (put.at("table") != "job" || put.at("key") != id) continue;
          Record("the store has stored job=" + id);
          owner->Kill(SIGKILL);
          return false;
        }
        return true;
      };
    }
    if (aTrouble) {
      // Answers take 20 times as long; 60 times is allowed, for 4.5 s.
      Record("the store is slow");
      where.m_store->m_slow = 20.0;
      co_await Sleep(700);
    }
    // One attempt: the client believes a 429 or 503, and does not ask again.
    const HttpAnswer answer =
        co_await where.Submit(entry, id, SmallJob(300), 3000);
    where.m_store->m_onTransaction = nullptr;
    where.m_store->m_slow = 1.0;
    co_await Sleep(1000);
    if (aTrouble) owner->Start();
    co_await Sleep(4000);
    const auto& runs = where.m_book.m_byTask[id + ".0.0.0"];
    const bool isRefused = answer.m_status == 503 || answer.m_status == 429;
    if (isRefused) ++refused;
    if (isRefused && !runs.empty()) {
      ++broken;
      Record("REFUSED: job=" + id + " was rejected with " +
             std::to_string(answer.m_status) + " and its task started at " +
             std::to_string(runs.front()->m_startedAt));
    }
    if (!aTrouble && round == 3) break;
  }
  Record("attempts that were rejected: " + std::to_string(refused));
  co_return broken > 0 ? 1 : 0;
}

}  // namespace

int main() { return review::RunCase(Scenario); }
