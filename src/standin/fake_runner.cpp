/**
 * @file fake_runner.cpp Simulates one of the platform's runners.
 *
 * Implements the platform's published protocol and keeps all data in memory.
 */

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standin/json_reply.h"
#include "standin/row_store.h"

namespace bronze::standin {

namespace {

/** Ends that one answer lists at most; the others are listed once these are
 *  acknowledged. */
constexpr size_t kListedEnds = 500;

using Json = nlohmann::json;

}  // namespace

FakeRunner::FakeRunner(ThreadPool& aThreads, Duration aTaskTime)
    : m_threads(aThreads), m_taskTime(aTaskTime) {
  m_server = std::make_unique<HttpServer>(
      m_threads, HttpLimits(), m_counters,
      [this](size_t, HttpCall aCall, auto aResponder) {
        bool lose = false;
        HttpReply reply = Handle(aCall, lose);
        if (lose) {
          aResponder->Abort();
        } else {
          ReplyTo(aCall, std::move(reply), aResponder);
        }
      });
}

void FakeRunner::ReplyTo(const HttpCall& aCall, HttpReply aReply,
                         const std::shared_ptr<HttpResponder>& aResponder) {
  Duration delay{};
  if (aCall.m_target == "/bronzeworks/run-start") {
    const std::lock_guard<std::mutex> lock(m_mutex);
    delay = m_faults.m_startDelay;
  }
  if (delay == Duration(0)) {
    aResponder->Reply(std::move(aReply));
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(m_threads.Context(0), delay);
  timer->async_wait([timer, reply = std::move(aReply),
                     aResponder](boost::system::error_code aError) mutable {
    if (!aError) aResponder->Reply(std::move(reply));
  });
}

boost::asio::ip::tcp::endpoint FakeRunner::Listen() {
  return m_server->Listen({boost::asio::ip::address_v4::loopback(), 0}).value();
}

void FakeRunner::SetFaults(FakeRunnerFaults aFaults) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = aFaults;
}

void FakeRunner::RaiseFence() {
  constexpr uint64_t kLaterOwner = 1'000'000'000;
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_fence = kLaterOwner;
}

std::map<std::string, int> FakeRunner::Starts() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_starts;
}

int FakeRunner::MaxConcurrentRuns() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_maxConcurrentRuns;
}

std::vector<RunRecord> FakeRunner::Runs() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Advance();
  return m_runs;
}

uint64_t FakeRunner::LastAcknowledgedEnd() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_acknowledged;
}

void FakeRunner::EndRun(const std::string& aTask, const std::string& aKind,
                        int64_t aEndedAt, std::string aCheckpoint) {
  const uint64_t run = m_running.at(aTask).m_number;
  RunRecord& record = m_runs[m_running.at(aTask).m_record];
  record.m_endedAt = aEndedAt;
  record.m_kind = aKind;
  m_running.erase(aTask);
  m_highestEnded[aTask] = std::max(m_highestEnded[aTask], run);
  m_ends.push_back({++m_lastEnd, aTask, run, aKind, std::move(aCheckpoint)});
}

void FakeRunner::Advance() {
  const int64_t now = NowMillis();
  const std::map<std::string, Run> running = m_running;
  for (const auto& [task, run] : running) {
    if (m_faults.m_stopsWithCheckpoint > 0) {
      // Starts with the name of its task, so that no two are equal.
      std::string checkpoint = task;
      checkpoint.resize(m_faults.m_stopsWithCheckpoint, '.');
      EndRun(task, "stopped", now, std::move(checkpoint));
    } else if (now >= run.m_endsAt) {
      EndRun(task, m_faults.m_failsTasks ? "failed" : "done", run.m_endsAt);
    } else if (now > m_deadline) {
      EndRun(task, "lapsed", m_deadline);
    }
  }
}

HttpReply FakeRunner::Handle(const HttpCall& aCall, bool& aLoseAnswer) {
  const Json body = Json::parse(aCall.m_body);
  const std::lock_guard<std::mutex> lock(m_mutex);
  Advance();
  Json answer = {{"clock_ms", NowMillis()}, {"born", 1}};
  const uint64_t fence = body.value("fence", uint64_t{0});
  if (fence < m_fence) {
    answer["reason"] = "fence";
    return JsonReply(409, answer);
  }
  m_fence = fence;
  m_deadline = std::max(m_deadline, body.value("deadline_ms", int64_t{0}));
  if (aCall.m_target == "/bronzeworks/run-start") {
    const std::string task = body.at("task");
    const uint64_t run = body.at("run");
    if (m_faults.m_refusesStarts) return JsonReply(503, answer);
    if (run <= m_highestEnded[task]) {
      answer["reason"] = "old";
      return JsonReply(409, answer);
    }
    ++m_starts[task];
    const int before = m_running.count(task) > 0 ? 1 : 0;
    m_maxConcurrentRuns = std::max(m_maxConcurrentRuns, before + 1);
    const int64_t now = NowMillis();
    const auto time =
        std::chrono::duration_cast<milliseconds>(m_taskTime).count();
    m_runs.push_back({task, run, now, INT64_MAX, "",
                      body.value("checkpoint", std::string())});
    m_running[task] = {run, now + time, m_runs.size() - 1};
    aLoseAnswer = m_faults.m_losesStartAnswers;
    return JsonReply(200, answer);
  }
  if (aCall.m_target == "/bronzeworks/run-stop") {
    const std::string task = body.at("task");
    const uint64_t run = body.at("run");
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.m_number <= run) {
      EndRun(task, "stopped", NowMillis());
    }
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    return JsonReply(200, answer);
  }
  const uint64_t seen = body.value("last_seen", uint64_t{0});
  m_acknowledged = std::max(m_acknowledged, seen);
  while (!m_ends.empty() && m_ends.front().m_number <= seen) {
    m_ends.pop_front();
  }
  answer["running"] = Json::array();
  for (const auto& [task, run] : m_running) {
    answer["running"].push_back(Json::array({task, run.m_number, "", 50, 0}));
  }
  answer["finished"] = Json::array();
  for (const End& end : m_ends) {
    if (answer["finished"].size() == kListedEnds) break;
    answer["finished"].push_back(Json::array(
        {end.m_number, end.m_task, end.m_run, end.m_kind, end.m_checkpoint}));
  }
  return JsonReply(200, answer);
}

}  // namespace bronze::standin
