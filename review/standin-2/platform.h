/**
 * @file platform.h Stand-ins of the platform on loopback: the store of rows and
 * the runners, with the limits and times of a small deployment.
 */

#ifndef REVIEW_STANDIN_PLATFORM_H_
#define REVIEW_STANDIN_PLATFORM_H_

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;

inline constexpr int64_t kTransactionMs = 8;
inline constexpr int64_t kReadMs = 4;
inline constexpr size_t kRowBytes = 65536;
inline constexpr size_t kMaxEntries = 100;
inline constexpr size_t kMaxCallBytes = size_t{1} << 20;
inline constexpr size_t kMaxRowsInAnswer = 500;
inline constexpr int64_t kWritesPerSecond = 600;
inline constexpr int64_t kReadsPerSecond = 2000;
inline constexpr int64_t kMaxHoldMs = 10000;
inline constexpr int64_t kCheckpointMs = 2000;
inline constexpr int64_t kRestoreMs = 100;
inline constexpr int64_t kHeartbeatMs = 1500;
inline constexpr size_t kListedEnds = 500;

/** The platform's store of rows. */
class Store {
 public:
  /** @return the port. */
  int Listen(const std::string& aIp) {
    return Serve(aIp, [this](const Request& aCall) { return Handle(aCall); });
  }

  /** Writes a row as the operator and the runners do; an empty value removes
   *  it. */
  void Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Write({aTable, "", aKey}, Encode64(aValue), aValue.empty());
    m_changed.notify_all();
  }

  /** Answers take this many times as long. */
  std::atomic<int> m_slowness = 1;

  /** Transactions refused since a row or the call was too large. */
  std::atomic<int> m_tooLarge = 0;
  /** Bytes of the largest value that was refused. */
  std::atomic<size_t> m_largestRefused = 0;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string m_value;  ///< In base64.
    uint64_t m_version = 0;
    bool m_deleted = false;
  };

  /** Limits the calls of one second. */
  struct Rate {
    int64_t m_second = 0;
    int64_t m_calls = 0;
    bool Take(int64_t aLimit) {
      const int64_t second = SteadyMillis() / 1000;
      if (second != m_second) {
        m_second = second;
        m_calls = 0;
      }
      return ++m_calls <= aLimit;
    }
  };

  static std::string Encode64(const std::string& aBytes) {
    static constexpr char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t at = 0; at < aBytes.size(); at += 3) {
      uint32_t bits = 0;
      for (size_t i = 0; i < 3; ++i) {
        bits = bits << 8 | (at + i < aBytes.size()
                                ? static_cast<unsigned char>(aBytes[at + i])
                                : 0U);
      }
      for (size_t i = 0; i < 4; ++i) {
        text +=
            at + i > aBytes.size() ? '=' : kDigits[bits >> (18 - 6 * i) & 63U];
      }
    }
    return text;
  }

  /** @return the number of bytes that the base64 text stands for. */
  static size_t DecodedSize(const std::string& aText) {
    size_t size = aText.size() / 4 * 3;
    for (size_t at = aText.size(); at > 0 && aText[at - 1] == '='; --at) --size;
    return size;
  }

  static Json RowJson(const Key& aKey, const Row& aRow) {
    Json row = {{"table", std::get<0>(aKey)},
                {"part", std::get<1>(aKey)},
                {"key", std::get<2>(aKey)},
                {"ver", aRow.m_version}};
    if (aRow.m_deleted) {
      row["deleted"] = true;
    } else {
      row["value"] = aRow.m_value;
    }
    return row;
  }

  /** @pre m_mutex is held. */
  void Write(const Key& aKey, std::string aValue, bool aDeleted) {
    m_rows[aKey] = {std::move(aValue), ++m_version, aDeleted};
  }

  Reply Answer(int aStatus, Json aBody) const {
    aBody["now_ms"] = SteadyMillis();
    return {aStatus, aBody.dump()};
  }

  Reply Handle(const Request& aCall) {
    const bool writes = aCall.m_path == "/bronzeworks/rows-tx";
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      Rate& rate = writes ? m_writes : m_reads;
      if (!rate.Take(writes ? kWritesPerSecond : kReadsPerSecond)) {
        return {429, "{}"};
      }
    }
    if (writes) return Transact(aCall);
    if (aCall.m_path == "/bronzeworks/rows-get") return Read(aCall);
    if (aCall.m_path == "/bronzeworks/rows-feed") return Feed(aCall);
    return {404, "{}"};
  }

  static Key KeyOf(const Json& aRow) {
    return {aRow.at("table"), aRow.at("part"), aRow.at("key")};
  }

  bool IsTooLarge(const Request& aCall, const Json& aBody) {
    size_t entries = 0;
    for (const char* list : {"expected", "put", "remove"}) {
      entries += aBody.value(list, Json::array()).size();
    }
    bool tooLarge =
        entries > kMaxEntries || aCall.m_body.size() > kMaxCallBytes;
    for (const Json& put : aBody.at("put")) {
      const size_t size = DecodedSize(put.at("value"));
      if (size <= kRowBytes) continue;
      tooLarge = true;
      m_largestRefused = std::max<size_t>(m_largestRefused, size);
    }
    return tooLarge;
  }

  Reply Transact(const Request& aCall) {
    const Json body = Json::parse(aCall.m_body);
    if (IsTooLarge(aCall, body)) {
      ++m_tooLarge;
      return {400, "{}"};
    }
    std::string part;
    for (const char* list : {"expected", "put", "remove"}) {
      for (const Json& row : body.value(list, Json::array())) {
        part = row.at("part");
        const std::string table = row.at("table");
        if (table == "op" || table == "servers") return {403, "{}"};
      }
    }
    std::mutex* turn = nullptr;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      turn = &m_parts[part];
    }
    Reply reply;
    {
      // A part carries out its transactions one after the other.
      const std::lock_guard<std::mutex> inTurn(*turn);
      SleepMillis(kTransactionMs);
      reply = Apply(body);
    }
    SleepMillis(kTransactionMs * (m_slowness - 1));
    return reply;
  }

  Reply Apply(const Json& aBody) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    bool holds = true;
    Json current = Json::array();
    for (const Json& expected : aBody.value("expected", Json::array())) {
      const auto found = m_rows.find(KeyOf(expected));
      const bool exists = found != m_rows.end() && !found->second.m_deleted;
      const uint64_t version = exists ? found->second.m_version : 0;
      holds = holds && version == expected.at("ver").get<uint64_t>();
      if (exists) current.push_back(RowJson(found->first, found->second));
    }
    if (!holds) return Answer(412, {{"rows", current}, {"ver", m_version}});
    const uint64_t version = m_version + 1;
    for (const Json& put : aBody.value("put", Json::array())) {
      m_rows[KeyOf(put)] = {put.at("value"), version, false};
    }
    for (const Json& removed : aBody.value("remove", Json::array())) {
      m_rows[KeyOf(removed)] = {"", version, true};
    }
    m_version = version;
    m_changed.notify_all();
    return Answer(200, {{"ver", m_version}});
  }

  static std::string Query(const Request& aCall, const std::string& aName) {
    const auto found = aCall.m_query.find(aName);
    return found == aCall.m_query.end() ? "" : found->second;
  }

  Reply Read(const Request& aCall) {
    SleepMillis(kReadMs * m_slowness);
    const std::string table = Query(aCall, "table");
    const std::string part = Query(aCall, "part");
    const std::string to = Query(aCall, "to");
    Json rows = Json::array();
    bool truncated = false;
    size_t bytes = 0;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto at = m_rows.lower_bound({table, part, Query(aCall, "from")});
         at != m_rows.end() && std::get<0>(at->first) == table &&
         std::get<1>(at->first) == part;
         ++at) {
      if (!to.empty() && std::get<2>(at->first) >= to) break;
      if (at->second.m_deleted) continue;
      bytes += at->second.m_value.size();
      if (rows.size() == kMaxRowsInAnswer ||
          (bytes > kMaxCallBytes && !rows.empty())) {
        truncated = true;
        break;
      }
      rows.push_back(RowJson(at->first, at->second));
    }
    return Answer(200, {{"rows", std::move(rows)},
                        {"truncated", truncated},
                        {"ver", m_version}});
  }

  Reply Feed(const Request& aCall) {
    const std::string table = Query(aCall, "table");
    const uint64_t after = std::stoull(Query(aCall, "after"));
    const int64_t until = SteadyMillis() + std::stoll(Query(aCall, "wait_ms"));
    SleepMillis(kReadMs * m_slowness);
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
      std::map<uint64_t, std::vector<Json>> changed;
      for (auto at = m_rows.lower_bound({table, "", ""});
           at != m_rows.end() && std::get<0>(at->first) == table; ++at) {
        if (at->second.m_version > after) {
          changed[at->second.m_version].push_back(
              RowJson(at->first, at->second));
        }
      }
      const int64_t left = until - SteadyMillis();
      if (!changed.empty() || left <= 0) {
        Json rows = Json::array();
        for (auto& [version, list] : changed) {
          for (Json& row : list) rows.push_back(std::move(row));
        }
        return Answer(200, {{"rows", std::move(rows)}, {"ver", m_version}});
      }
      m_changed.wait_for(lock, std::chrono::milliseconds(left));
    }
  }

  std::mutex m_mutex;  ///< Guards all below.
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  std::map<std::string, std::mutex> m_parts;
  uint64_t m_version = 0;
  Rate m_writes;
  Rate m_reads;
};

/** One run of a task on a runner; times by SteadyMillis. */
struct RunRecord {
  std::string m_runner;
  std::string m_task;
  uint64_t m_run = 0;
  int64_t m_startedAt = 0;
  int64_t m_endedAt = 0;  ///< 0: it runs.
  std::string m_how;
};

/** What all runners have run. */
class RunLog {
 public:
  size_t Add(RunRecord aRecord) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_records.push_back(std::move(aRecord));
    return m_records.size() - 1;
  }
  void End(size_t aAt, const std::string& aHow) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_records[aAt].m_endedAt = SteadyMillis();
    m_records[aAt].m_how = aHow;
  }
  std::vector<RunRecord> All() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_records;
  }

 private:
  std::mutex m_mutex;
  std::vector<RunRecord> m_records;
};

/** One runner. The text `spec` of a job is what the clients and the runners of
 *  this deployment agreed on: {"ms":work,"cpu":…,"mem_mb":…,"saves":bool,
 *  "fails":bool}. A task that fails does so at the end of its work. */
class Runner {
 public:
  Runner(Store& aStore, RunLog& aLog, std::string aId, std::string aService,
         std::string aZone, std::string aKind, std::string aRack,
         int64_t aMillicores, int64_t aMemoryMb)
      : m_store(aStore),
        m_log(aLog),
        m_id(std::move(aId)),
        m_service(std::move(aService)),
        m_zone(std::move(aZone)),
        m_kind(std::move(aKind)),
        m_rack(std::move(aRack)),
        m_millicores(aMillicores),
        m_memoryMb(aMemoryMb),
        m_born(UnixMillis()),
        m_bornAt(SteadyMillis()) {}

  void Start(const std::string& aIp) {
    m_address =
        aIp + ":" + std::to_string(Serve(aIp, [this](const Request& aCall) {
          return Handle(aCall);
        }));
    std::thread([this] {
      for (int64_t next = 0;; SleepMillis(5)) {
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          Advance();
        }
        if (SteadyMillis() < next) continue;
        next = SteadyMillis() + kHeartbeatMs;
        Report();
      }
    }).detach();
  }

  /** Answers starts with 503, as an unhealthy runner does. */
  std::atomic<bool> m_refusesStarts = false;

  /** Runs that go on, of any task. */
  int64_t UsedMillicores() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_usedMillicores;
  }
  [[nodiscard]] int64_t Millicores() const { return m_millicores; }
  [[nodiscard]] int RefusedStarts() const { return m_refusedStarts; }
  /** Ends that no caller has taken note of yet. */
  size_t ListedEnds() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ends.size();
  }

 private:
  struct Run {
    uint64_t m_number = 0;
    int64_t m_workMs = 0;
    int64_t m_doneBefore = 0;  ///< Work that the checkpoint stands for.
    int64_t m_beginsAt = 0;    ///< When it goes on after the restore.
    int64_t m_millicores = 0;
    int64_t m_memoryMb = 0;
    bool m_saves = false;
    bool m_fails = false;
    size_t m_record = 0;
  };

  int64_t Clock() const { return SteadyMillis() - m_bornAt; }

  void Report() {
    const Json entry = {
        {"service", m_service},
        {"address", m_address},
        {"zone", m_zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"capacity",
         {{"cpu", m_millicores}, {"mem_mb", m_memoryMb}, {"gpu", 0}}},
        {"labels", {m_kind, m_rack}},
        {"clock_ms", Clock()},
        {"born", m_born},
        {"sequence", ++m_sequence}};
    m_store.Put("servers", m_id, entry.dump());
  }

  static int64_t DoneMs(const Run& aRun) {
    return aRun.m_doneBefore +
           std::max<int64_t>(0, SteadyMillis() - aRun.m_beginsAt);
  }

  static std::string CheckpointOf(const Run& aRun, bool aAtStop) {
    if (!aRun.m_saves) return "";
    const int64_t done = DoneMs(aRun);
    const int64_t saved =
        aAtStop ? done
                : std::max(aRun.m_doneBefore, done - done % kCheckpointMs);
    if (saved <= 0) return "";
    char text[32];
    std::snprintf(text, sizeof text, "%08llx7a21d94b",
                  static_cast<unsigned long long>(saved));
    return text;
  }

  void EndRun(const std::string& aTask, const std::string& aHow) {
    const auto found = m_running.find(aTask);
    const Run run = found->second;
    m_running.erase(found);
    m_usedMillicores -= run.m_millicores;
    m_usedMemoryMb -= run.m_memoryMb;
    uint64_t& highest = m_highestEnded[aTask];
    highest = std::max(highest, run.m_number);
    const std::string saved =
        aHow == "done" ? "" : CheckpointOf(run, aHow == "stopped");
    m_ends.push_back(
        Json::array({++m_lastEnd, aTask, run.m_number, aHow, saved}));
    m_log.End(run.m_record, aHow);
    m_ended.notify_all();
  }

  void Advance() {
    const int64_t clock = Clock();
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : m_running) {
      if (DoneMs(run) >= run.m_workMs) {
        ends.emplace_back(task, run.m_fails ? "failed" : "done");
      } else if (clock > m_deadline) {
        ends.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : ends) EndRun(task, how);
  }

  Reply Answer(int aStatus, Json aBody) const {
    aBody["clock_ms"] = Clock();
    aBody["born"] = m_born;
    return {aStatus, aBody.dump()};
  }
  Reply Refuse(const std::string& aReason) const {
    return Answer(409, {{"reason", aReason}});
  }

  Reply Handle(const Request& aCall) {
    if (aCall.m_path == "/healthz") return {200, "{}"};
    const Json body = Json::parse(aCall.m_body, nullptr, false);
    std::unique_lock<std::mutex> lock(m_mutex);
    Advance();
    const auto expected = aCall.m_headers.find("x-expect-instance");
    if (expected != aCall.m_headers.end() && expected->second != m_id) {
      return Answer(421, Json::object());
    }
    if (body.is_discarded()) return Answer(400, Json::object());
    const auto fence = body.value("fence", uint64_t{0});
    if (fence < m_fence) return Refuse("fence");
    m_fence = fence;
    if (body.contains("deadline_ms")) {
      m_deadline =
          std::max(m_deadline, std::min(body.at("deadline_ms").get<int64_t>(),
                                        Clock() + kMaxHoldMs));
    }
    if (aCall.m_path == "/bronzeworks/run-start") return StartRun(body);
    if (aCall.m_path == "/bronzeworks/run-stop") return StopRun(body);
    if (aCall.m_path == "/bronzeworks/pace") {
      return Answer(200, Json::object());
    }
    if (aCall.m_path != "/bronzeworks/hold") return {404, "{}"};
    const auto seen = body.value("last_seen", uint64_t{0});
    while (!m_ends.empty() && m_ends.front().at(0).get<uint64_t>() <= seen) {
      m_ends.pop_front();
    }
    const int64_t wait = body.value("wait_ms", int64_t{0});
    m_ended.wait_for(lock, std::chrono::milliseconds(wait),
                     [this] { return !m_ends.empty(); });
    Advance();
    return Lists();
  }

  Reply Lists() const {
    Json running = Json::array();
    for (const auto& [task, run] : m_running) {
      const int64_t percent =
          std::min<int64_t>(99, DoneMs(run) * 100 / run.m_workMs);
      running.push_back(
          Json::array({task, run.m_number, CheckpointOf(run, false), percent,
                       run.m_millicores}));
    }
    Json finished = Json::array();
    for (const Json& end : m_ends) {
      if (finished.size() == kListedEnds) break;
      finished.push_back(end);
    }
    return Answer(200, {{"running", running}, {"finished", finished}});
  }

  Reply StartRun(const Json& aBody) {
    if (m_refusesStarts) {
      ++m_refusedStarts;
      return Answer(503, Json::object());
    }
    const std::string task = aBody.at("task");
    const auto number = aBody.at("run").get<uint64_t>();
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.m_number == number) {
      return Answer(200, Json::object());
    }
    if (number <= m_highestEnded[task]) return Refuse("old");
    if (m_deadline <= Clock()) return Refuse("late");
    const Json spec = Json::parse(aBody.at("spec").get<std::string>());
    Run run;
    run.m_number = number;
    run.m_workMs = spec.at("ms");
    run.m_millicores = spec.at("cpu");
    run.m_memoryMb = spec.at("mem_mb");
    run.m_saves = spec.value("saves", false);
    run.m_fails = spec.value("fails", false);
    if (m_usedMillicores + run.m_millicores > m_millicores ||
        m_usedMemoryMb + run.m_memoryMb > m_memoryMb) {
      return Refuse("room");
    }
    const std::string checkpoint = aBody.value("checkpoint", "");
    run.m_beginsAt = SteadyMillis();
    if (!checkpoint.empty()) {
      run.m_doneBefore =
          std::strtoll(checkpoint.substr(0, 8).c_str(), nullptr, 16);
      run.m_beginsAt += kRestoreMs;
    }
    m_usedMillicores += run.m_millicores;
    m_usedMemoryMb += run.m_memoryMb;
    run.m_record = m_log.Add({m_id, task, number, SteadyMillis(), 0, ""});
    m_running[task] = run;
    return Answer(200, Json::object());
  }

  Reply StopRun(const Json& aBody) {
    const std::string task = aBody.at("task");
    const auto number = aBody.at("run").get<uint64_t>();
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.m_number <= number) {
      EndRun(task, "stopped");
    }
    uint64_t& highest = m_highestEnded[task];
    highest = std::max(highest, number);
    return Answer(200, Json::object());
  }

  Store& m_store;
  RunLog& m_log;
  const std::string m_id;
  const std::string m_service;
  const std::string m_zone;
  const std::string m_kind;
  const std::string m_rack;
  const int64_t m_millicores;
  const int64_t m_memoryMb;
  const int64_t m_born;
  const int64_t m_bornAt;
  std::string m_address;
  uint64_t m_sequence = 0;
  std::atomic<int> m_refusedStarts = 0;
  std::mutex m_mutex;  ///< Guards all below.
  std::condition_variable m_ended;
  uint64_t m_fence = 0;
  int64_t m_deadline = 0;  ///< End of the lease, by Clock.
  int64_t m_usedMillicores = 0;
  int64_t m_usedMemoryMb = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, uint64_t> m_highestEnded;
  std::deque<Json> m_ends;
  uint64_t m_lastEnd = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_H_
