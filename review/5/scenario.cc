/**
 * @file scenario.cc The owner is killed while jobs wait and others, which had
 * not begun either, have been cancelled.
 */

#include <signal.h>

#include "../standin/standin.hh"

namespace {

using namespace review;

constexpr int kWaiting = 12;
constexpr int kCancelled = 24;

/** Ids in no order, as clients choose them. */
std::string IdOf(uint64_t aNumber) {
  char text[17];
  snprintf(text, sizeof text, "%016llx",
           static_cast<unsigned long long>(aNumber * 0x9e3779b97f4a7c15ULL));
  return text;
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
  // More cores than any runner has: these jobs wait, as on days with poison.
  const Json step = {
      {"count", 1}, {"cpu", 80000}, {"mem_mb", 256}, {"estimate_ms", 500}};
  const Json job = {{"spec", "500 done"}, {"steps", Json::array({step})}};
  for (int at = 1; at <= kWaiting; ++at) {
    if (!co_await where.SubmitUntilAccepted(IdOf(100 + at), job)) co_return 2;
  }
  for (int at = 1; at <= kCancelled; ++at) {
    const std::string id = IdOf(200 + at);
    if (!co_await where.SubmitUntilAccepted(id, job)) co_return 2;
    const HttpAnswer answer =
        co_await Call(where.m_nodes[0]->Front(), "DELETE", "/queue/" + id,
                      "h.example", "", 3000);
    Record("cancel job=" + id + " status=" + std::to_string(answer.m_status));
    if (answer.m_status / 100 != 2) co_return 2;
  }
  // visible_ms + 2 s, and a margin.
  co_await Sleep(7000);
  Node* owner = where.FindOwner();
  if (aTrouble) {
    owner->Kill(SIGKILL);
    co_await Sleep(3000);
    owner->Start();
  }
  // contact_ms after the end of the disruption all machines are in touch.
  co_await Sleep(9000);
  bool broken = false;
  for (size_t at = 0; at < 6; ++at) {
    const Node& node = *where.m_nodes[at % where.m_nodes.size()];
    const HttpAnswer answer =
        co_await Call(node.Front(), "GET", "/queue/", "h.example", "", 3000);
    Record("pending at " + node.Name() +
           ": status=" + std::to_string(answer.m_status) + " " + answer.m_body);
    if (answer.m_status == 200) {
      const int pending = Json::parse(answer.m_body).at("pending");
      if (pending * 2 < kWaiting) {
        broken = true;
        Record("MIXED: pending is " + std::to_string(pending) + ", and " +
               std::to_string(kWaiting) + " accepted jobs have not begun");
      }
    }
    co_await Sleep(700);
  }
  for (int at = 1; at <= kWaiting; ++at) {
    (void)co_await where.LookUp(0, IdOf(100 + at));
  }
  co_return broken ? 1 : 0;
}

}  // namespace

int main() { return review::RunCase(Scenario); }
