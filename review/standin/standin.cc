/**
 * @file standin.cc The platform, the client and the processes of the cases.
 */

#include "standin.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/url.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace review {

namespace {

using SteadyClock = std::chrono::steady_clock;
const SteadyClock::time_point kBegin = SteadyClock::now();
std::ofstream sRecord;
std::vector<Node*> sNodes;

constexpr int64_t kBeatMs = 1500;
constexpr int64_t kHistoryMs = 20000;
constexpr double kReadMs = 4.0;
constexpr double kTransactionMs = 8.0;
constexpr int64_t kPartTransactionMicros = 1000000 / 150;
constexpr size_t kMaxRows = 500;
constexpr size_t kMaxAnswer = 1000000;
constexpr size_t kMaxTransaction = 1000000;
constexpr size_t kMaxEntries = 100;
constexpr size_t kRowBytes = 65536;
constexpr size_t kEndsAtATime = 500;

int64_t NowMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             SteadyClock::now() - kBegin)
      .count();
}

std::map<std::string, std::string> QueryOf(const std::string& aTarget) {
  std::map<std::string, std::string> query;
  const auto url = boost::urls::parse_origin_form(aTarget);
  if (!url) return query;
  for (const auto& param : url->params()) {
    query[std::string(param.key)] = std::string(param.value);
  }
  return query;
}

tcp::endpoint EndpointOf(const std::string& aAddress) {
  const size_t colon = aAddress.rfind(':');
  return {asio::ip::make_address(aAddress.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(aAddress.substr(colon + 1)))};
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int64_t Now() { return NowMicros() / 1000; }

void OpenRecord(const std::string& aPath) { sRecord.open(aPath); }

void Record(const std::string& aLine) {
  std::ostringstream line;
  line << Now() << " " << aLine << "\n";
  sRecord << line.str() << std::flush;
}

std::string Encode64(const std::string& aBytes) {
  namespace base64 = beast::detail::base64;
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

asio::awaitable<void> Sleep(int64_t aMs) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aMs));
  co_await timer.async_wait(asio::use_awaitable);
}

// ---------------------------------------------------------------- HttpHost

struct HttpHost::Session {
  explicit Session(tcp::socket aSocket)
      : m_stream(std::move(aSocket)), m_answered(m_stream.get_executor()) {}
  beast::tcp_stream m_stream;
  asio::steady_timer m_answered;
  bool m_hasAnswer = false;
  uint64_t m_call = 0;
  int64_t m_acceptedAt = Now();
  int m_status = 0;
  std::string m_body;
};

HttpHost::HttpHost(asio::io_context& aIo, const std::string& aIp,
                   Handler aHandler)
    : m_io(aIo),
      m_acceptor(aIo, tcp::endpoint(asio::ip::make_address(aIp), 0)),
      m_handler(std::move(aHandler)) {
  asio::co_spawn(m_io, Accept(), asio::detached);
}

std::string HttpHost::Address() const {
  const auto endpoint = m_acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void HttpHost::CloseConnections() {
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) session->m_stream.close();
  }
  m_sessions.clear();
}

asio::awaitable<void> HttpHost::Accept() {
  while (true) {
    tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket));
    std::erase_if(m_sessions,
                  [](const auto& aWeak) { return aWeak.expired(); });
    m_sessions.push_back(session);
    asio::co_spawn(m_io, Serve(std::move(session)), asio::detached);
  }
}

asio::awaitable<void> HttpHost::Serve(std::shared_ptr<Session> aSession) {
  beast::flat_buffer buffer;
  try {
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(8 << 20);
      aSession->m_stream.expires_never();
      co_await http::async_read(aSession->m_stream, buffer, parser,
                                asio::use_awaitable);
      const uint64_t call = ++aSession->m_call;
      aSession->m_hasAnswer = false;
      aSession->m_answered.expires_at(SteadyClock::time_point::max());
      parser.get().set("X-Accepted-At", std::to_string(aSession->m_acceptedAt));
      m_handler(parser.get(), [weak = std::weak_ptr<Session>(aSession), call](
                                  int aStatus, std::string aBody) {
        const auto session = weak.lock();
        if (!session || session->m_call != call || session->m_hasAnswer) return;
        session->m_hasAnswer = true;
        session->m_status = aStatus;
        session->m_body = std::move(aBody);
        session->m_answered.cancel();
      });
      while (!aSession->m_hasAnswer) {
        beast::error_code ignored;
        co_await aSession->m_answered.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (!aSession->m_stream.socket().is_open()) co_return;
      }
      http::response<http::string_body> response(
          static_cast<http::status>(aSession->m_status), 11);
      response.set(http::field::content_type, "application/json");
      response.keep_alive(true);
      response.body() = std::move(aSession->m_body);
      response.prepare_payload();
      aSession->m_stream.expires_after(std::chrono::seconds(10));
      co_await http::async_write(aSession->m_stream, response,
                                 asio::use_awaitable);
    }
  } catch (const std::exception&) {
    // The peer has closed the connection.
  }
}

asio::awaitable<HttpAnswer> Call(std::string aAddress, std::string aMethod,
                                 std::string aTarget, std::string aHost,
                                 std::string aBody, int64_t aTimeoutMs) {
  HttpAnswer answer;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  try {
    stream.expires_after(std::chrono::milliseconds(aTimeoutMs));
    co_await stream.async_connect(EndpointOf(aAddress), asio::use_awaitable);
    Request request;
    request.method_string(aMethod);
    request.target(aTarget);
    request.version(11);
    request.set(http::field::host, aHost);
    request.set(http::field::content_type, "application/json");
    request.set("X-Deadline-Ms", std::to_string(aTimeoutMs));
    request.body() = std::move(aBody);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    answer.m_status = static_cast<int>(response.result_int());
    answer.m_body = response.body();
  } catch (const std::exception& error) {
    answer.m_problem = error.what();
  }
  co_return answer;
}

// ------------------------------------------------------------------- Store

Store::Store(asio::io_context& aIo, const std::string& aIp)
    : m_io(aIo), m_host(aIo, aIp, [this](const Request& aRequest, Respond aR) {
        Handle(aRequest, std::move(aR));
      }) {}

void Store::Later(double aMs, std::function<void()> aDo) {
  auto timer = std::make_shared<asio::steady_timer>(
      m_io, std::chrono::microseconds(static_cast<int64_t>(aMs * 1000)));
  timer->async_wait([timer, todo = std::move(aDo)](beast::error_code aError) {
    if (!aError) todo();
  });
}

void Store::Apply(const Key& aKey, const std::string& aValue, bool aDeleted) {
  if (aDeleted) {
    if (m_rows.erase(aKey) == 0) return;
  } else {
    m_rows[aKey] = {aValue, m_version};
  }
  m_history.push_back({m_version, aKey, aValue, aDeleted, Now()});
}

void Store::Put(const std::string& aTable, const std::string& aKey,
                const Json& aBody) {
  ++m_version;
  Apply({aTable, "", aKey}, Encode64(aBody.dump()), false);
  WakeFeeds();
}

void Store::Remove(const std::string& aTable, const std::string& aKey) {
  ++m_version;
  Apply({aTable, "", aKey}, "", true);
  WakeFeeds();
}

void Store::Handle(const Request& aRequest, Respond aRespond) {
  if (m_down) {
    Later(kReadMs, [aRespond] { aRespond(503, "{}"); });
    return;
  }
  const std::string target(aRequest.target());
  const std::string path = target.substr(0, target.find('?'));
  const auto query = QueryOf(target);
  if (path == "/bronzeworks/rows-tx") {
    if (aRequest.body().size() > kMaxTransaction) {
      ++m_refusedTransactions;
      Record("store refuses a transaction of " +
             std::to_string(aRequest.body().size()) + " bytes");
      aRespond(400, "{}");
      return;
    }
    Transact(Json::parse(aRequest.body()), std::move(aRespond));
  } else if (path == "/bronzeworks/rows-get") {
    Later(kReadMs * m_slow, [this, query, aRespond] {
      if (m_down) {
        aRespond(503, "{}");
      } else {
        ReadRange(query, aRespond);
      }
    });
  } else if (path == "/bronzeworks/rows-feed") {
    Feed(query, std::move(aRespond));
  } else {
    aRespond(404, "{}");
  }
}

void Store::Transact(const Json& aBody, Respond aRespond) {
  std::string part;
  size_t entries = 0;
  bool tooLarge = false;
  for (const char* list : {"expected", "put", "remove"}) {
    if (!aBody.contains(list)) continue;
    for (const Json& row : aBody.at(list)) {
      ++entries;
      part = row.at("part").get<std::string>();
      if (row.contains("value") &&
          row.at("value").get_ref<const std::string&>().size() / 4 * 3 >
              kRowBytes + 2) {
        tooLarge = true;
      }
    }
  }
  if (entries > kMaxEntries || tooLarge) {
    ++m_refusedTransactions;
    Record("store refuses a transaction: entries=" + std::to_string(entries) +
           " row_too_large=" + std::to_string(tooLarge));
    aRespond(400, "{}");
    return;
  }
  int64_t& freeAt = m_partFreeAt[part];
  const int64_t now = NowMicros();
  const int64_t begin = std::max(now, freeAt);
  if (begin - now > 1000000) {
    aRespond(429, "{}");
    return;
  }
  freeAt = begin + kPartTransactionMicros;
  const double wait = static_cast<double>(begin - now) / 1000.0;
  Later(wait + kTransactionMs / 2, [this, aBody, aRespond] {
    if (m_down) {
      aRespond(503, "{}");
      return;
    }
    bool holds = true;
    Json current = Json::array();
    for (const Json& row : aBody.at("expected")) {
      const Key key{row.at("table"), row.at("part"), row.at("key")};
      const auto found = m_rows.find(key);
      const uint64_t version =
          found == m_rows.end() ? 0 : found->second.m_version;
      holds = holds && version == row.at("ver").get<uint64_t>();
      if (found == m_rows.end()) continue;
      current.push_back({{"table", std::get<0>(key)},
                         {"part", std::get<1>(key)},
                         {"key", std::get<2>(key)},
                         {"value", found->second.m_value},
                         {"ver", found->second.m_version}});
    }
    Json answer = {{"now_ms", Now()}};
    bool isAnswered = true;
    if (holds) {
      ++m_version;
      ++m_transactions;
      for (const Json& row : aBody.at("put")) {
        Apply({row.at("table"), row.at("part"), row.at("key")}, row.at("value"),
              false);
      }
      for (const Json& row : aBody.at("remove")) {
        Apply({row.at("table"), row.at("part"), row.at("key")}, "", true);
      }
      answer["ver"] = m_version;
      WakeFeeds();
      if (m_onTransaction) isAnswered = m_onTransaction(aBody);
    } else {
      answer["ver"] = m_version;
      answer["rows"] = std::move(current);
    }
    if (!isAnswered) return;
    Later(kTransactionMs * m_slow - kTransactionMs / 2,
          [aRespond, holds, text = answer.dump()] {
            aRespond(holds ? 200 : 412, text);
          });
  });
}

void Store::ReadRange(const std::map<std::string, std::string>& aQuery,
                      Respond aRespond) {
  const auto text = [&](const char* aName) {
    const auto found = aQuery.find(aName);
    return found == aQuery.end() ? std::string() : found->second;
  };
  size_t limit = kMaxRows;
  if (!text("limit").empty()) {
    limit = std::min<size_t>(limit, std::stoul(text("limit")));
  }
  Json rows = Json::array();
  bool truncated = false;
  size_t bytes = 0;
  const Key from{text("table"), text("part"), text("from")};
  for (auto at = m_rows.lower_bound(from); at != m_rows.end(); ++at) {
    const auto& [table, part, key] = at->first;
    if (table != text("table") || part != text("part")) break;
    if (!text("to").empty() && key >= text("to")) break;
    if (rows.size() >= limit || bytes > kMaxAnswer) {
      truncated = true;
      break;
    }
    bytes += at->second.m_value.size();
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", key},
                    {"value", at->second.m_value},
                    {"ver", at->second.m_version}});
  }
  aRespond(200, Json{{"rows", std::move(rows)},
                     {"truncated", truncated},
                     {"ver", m_version},
                     {"now_ms", Now()}}
                    .dump());
}

bool Store::AnswerFeed(const std::string& aTable, uint64_t aAfter,
                       bool aEmptyToo, const Respond& aRespond) {
  Json rows = Json::array();
  for (const Change& change : m_history) {
    if (change.m_version <= aAfter || std::get<0>(change.m_key) != aTable) {
      continue;
    }
    Json row = {{"table", std::get<0>(change.m_key)},
                {"part", std::get<1>(change.m_key)},
                {"key", std::get<2>(change.m_key)},
                {"ver", change.m_version}};
    if (change.m_deleted) {
      row["deleted"] = true;
    } else {
      row["value"] = change.m_value;
    }
    rows.push_back(std::move(row));
  }
  if (rows.empty() && !aEmptyToo) return false;
  aRespond(
      200,
      Json{{"rows", std::move(rows)}, {"ver", m_version}, {"now_ms", Now()}}
          .dump());
  return true;
}

void Store::Feed(const std::map<std::string, std::string>& aQuery,
                 Respond aRespond) {
  const std::string table = aQuery.at("table");
  const uint64_t after = std::stoull(aQuery.at("after"));
  const int64_t wait = std::stoll(aQuery.at("wait_ms"));
  while (!m_history.empty() && m_history.front().m_at + kHistoryMs < Now()) {
    m_forgotten = m_history.front().m_version;
    m_history.pop_front();
  }
  if (after < m_forgotten) {
    aRespond(410, "{}");
    return;
  }
  if (AnswerFeed(table, after, false, aRespond)) return;
  m_waiting.push_back({table, after, aRespond,
                       std::make_shared<asio::steady_timer>(
                           m_io, std::chrono::milliseconds(wait))});
  const auto at = std::prev(m_waiting.end());
  at->m_timer->async_wait([this, at](beast::error_code aError) {
    if (aError) return;
    const Waiting waiting = *at;
    m_waiting.erase(at);
    if (m_down) {
      waiting.m_respond(503, "{}");
    } else {
      AnswerFeed(waiting.m_table, waiting.m_after, true, waiting.m_respond);
    }
  });
}

void Store::WakeFeeds() {
  if (m_down) return;
  for (auto at = m_waiting.begin(); at != m_waiting.end();) {
    if (AnswerFeed(at->m_table, at->m_after, false, at->m_respond)) {
      // A timer that has expired already finds its entry, as erase comes later.
      if (at->m_timer->cancel() > 0) {
        at = m_waiting.erase(at);
        continue;
      }
    }
    ++at;
  }
}

// -------------------------------------------------------------------- Book

Work Book::WorkOf(const std::string& aTask) const {
  Work work;
  const std::string id = aTask.substr(0, aTask.find('.'));
  const auto job = m_jobs.find(id);
  if (job == m_jobs.end()) return work;
  const size_t occurrence = aTask.find('.');
  const size_t step = aTask.find('.', occurrence + 1);
  const size_t number = std::stoul(aTask.substr(step + 1));
  std::istringstream parts(job->second.at("spec").get<std::string>());
  std::string part;
  for (size_t at = 0; std::getline(parts, part, ','); ++at) {
    std::istringstream words(part);
    words >> work.m_ms >> work.m_how;
    if (at == number) break;
  }
  const Json& need = job->second.at("steps").at(number);
  work.m_cpu = need.value("cpu", int64_t{0});
  work.m_memory = need.value("mem_mb", int64_t{0});
  work.m_saves = need.value("saves_progress", false);
  work.m_lasts = need.value("long_running", false);
  return work;
}

std::vector<std::string> Book::CheckTwice() const {
  std::vector<std::string> breaks;
  for (const auto& [task, runs] : m_byTask) {
    for (size_t later = 0; later < runs.size(); ++later) {
      for (size_t at = 0; at < later; ++at) {
        const Run& first = *runs[at];
        const Run& second = *runs[later];
        const bool together =
            first.m_endedAt < 0 || first.m_endedAt > second.m_startedAt;
        const bool afterDone = !together && first.m_how == "done" &&
                               first.m_notedAt >= 0 && !first.m_lapsedBetween;
        if (!together && !afterDone) continue;
        std::ostringstream line;
        line << "TWICE task=" << task << (together ? " two runs at a time" : "")
             << " run=" << first.m_number << " on " << first.m_runner
             << " ended " << first.m_how << " at " << first.m_endedAt
             << ", noted at " << first.m_notedAt << "; run=" << second.m_number
             << " on " << second.m_runner << " started at "
             << second.m_startedAt;
        breaks.push_back(line.str());
      }
    }
  }
  return breaks;
}

std::vector<std::string> Book::CheckBudget(size_t aAttempts) const {
  std::vector<std::string> breaks;
  for (const auto& [task, runs] : m_byTask) {
    for (const auto& start : runs) {
      size_t failed = 0;
      for (const auto& run : runs) {
        const bool counts = run->m_how == "failed" && run->m_endedAt >= 0 &&
                            run->m_endedAt <= start->m_startedAt &&
                            run->m_notedAt >= 0 && !run->m_lapsedBetween;
        if (counts) ++failed;
      }
      if (failed < aAttempts) continue;
      std::ostringstream line;
      line << "BUDGET task=" << task << " run=" << start->m_number
           << " started at " << start->m_startedAt << " after " << failed
           << " runs that ended failed";
      breaks.push_back(line.str());
    }
  }
  return breaks;
}

// ------------------------------------------------------------------ Runner

Runner::Runner(asio::io_context& aIo, const std::string& aIp, Store& aStore,
               Book& aBook, RunnerOptions aOptions)
    : m_io(aIo),
      m_store(aStore),
      m_book(aBook),
      m_options(std::move(aOptions)),
      m_host(aIo, aIp,
             [this](const Request& aRequest, Respond aRespond) {
               Handle(aRequest, std::move(aRespond));
             }),
      m_born(UnixMs() - 100000),
      m_bornAt(Now() - 100000) {}

void Runner::Start() {
  asio::co_spawn(m_io, Beat(), asio::detached);
  asio::co_spawn(m_io, Watch(), asio::detached);
}

int64_t Runner::ClockMs() const { return Now() - m_bornAt; }

Json Runner::Base() const {
  return {{"clock_ms", ClockMs()}, {"born", m_born}};
}

asio::awaitable<void> Runner::Beat() {
  while (true) {
    if (!m_cut && !m_store.m_down) {
      Json entry = Base();
      entry["service"] = "pool";
      entry["address"] = m_host.Address();
      entry["zone"] = "z-a";
      entry["version"] = "v1";
      entry["slots"] = 8;
      entry["state"] = "ready";
      entry["cold_left_ms"] = 0;
      entry["capacity"] = {
          {"cpu", m_options.m_cpu}, {"mem_mb", m_options.m_memory}, {"gpu", 0}};
      entry["labels"] = {m_options.m_kind, m_options.m_rack};
      entry["sequence"] = ++m_sequence;
      m_store.Put("servers", m_options.m_id, entry);
      m_listed = true;
    }
    for (int at = 0; at < 15; ++at) {
      const bool wasCut = m_cut;
      co_await Sleep(kBeatMs / 15);
      if (m_cut && m_listed && Now() - m_cutAt > 3 * kBeatMs) {
        m_store.Remove("servers", m_options.m_id);
        m_listed = false;
      }
      if (wasCut && !m_cut) break;
    }
  }
}

asio::awaitable<void> Runner::Watch() {
  while (true) {
    co_await Sleep(2);
    const int64_t now = Now();
    std::vector<std::pair<std::shared_ptr<Run>, std::string>> ended;
    const bool lapsed = !m_running.empty() && ClockMs() > m_deadline;
    for (const auto& [task, run] : m_running) {
      if (!run->m_work.m_lasts && now - run->m_startedAt >= run->m_work.m_ms) {
        ended.emplace_back(run, run->m_work.m_how);
      } else if (lapsed) {
        ended.emplace_back(run, "lapsed");
      }
    }
    for (const auto& [run, how] : ended) EndRun(run, how);
    if (ClockMs() > m_deadline && m_deadline > 0) m_lastLapseAt = now;
    if (!ended.empty()) WakeHolds();
  }
}

void Runner::EndRun(const std::shared_ptr<Run>& aRun, const std::string& aHow) {
  aRun->m_endedAt = Now();
  aRun->m_how = aHow;
  aRun->m_end = ++m_lastEnd;
  m_running.erase(aRun->m_task);
  uint64_t& highest = m_highest[aRun->m_task];
  highest = std::max(highest, aRun->m_number);
  m_ends.push_back({aRun->m_end, aRun});
  m_longestList = std::max(m_longestList, m_ends.size());
  Record("end runner=" + m_options.m_id + " task=" + aRun->m_task +
         " run=" + std::to_string(aRun->m_number) + " how=" + aHow);
}

void Runner::SetCut(bool aCut) {
  m_cut = aCut;
  m_cutAt = Now();
  Record(std::string(aCut ? "cut off" : "reachable again") +
         " runner=" + m_options.m_id);
  if (aCut) return;
  for (const Request& held : m_held) {
    Record("arrives after the cut runner=" + m_options.m_id + " " +
           std::string(held.target()) + " " + held.body());
    Execute(held, [](int, std::string) {});
  }
  m_held.clear();
  // Answers under way are lost, and so are the connections.
  m_host.CloseConnections();
}

void Runner::Lose() {
  Record("lost for good runner=" + m_options.m_id);
  for (const auto& [task, run] : m_running) {
    run->m_endedAt = Now();
    run->m_how = "lost";
  }
  m_running.clear();
  m_ends.clear();
  m_cut = true;
  m_cutAt = Now();
}

void Runner::Handle(const Request& aRequest, Respond aRespond) {
  if (m_cut) {
    const bool isOld =
        std::stoll(std::string(aRequest["X-Accepted-At"])) < m_cutAt;
    if (isOld) m_held.push_back(aRequest);
    return;
  }
  Execute(aRequest, std::move(aRespond));
}

void Runner::Execute(const Request& aRequest, const Respond& aRespond) {
  Respond respond = [this, aRespond](int aStatus, std::string aBody) {
    if (!m_cut) aRespond(aStatus, std::move(aBody));
  };
  const auto instance = aRequest.find("X-Expect-Instance");
  if (instance != aRequest.end() &&
      std::string(instance->value()) != m_options.m_id) {
    respond(421, Base().dump());
    return;
  }
  const Json body = Json::parse(aRequest.body());
  const std::string target(aRequest.target());
  const uint64_t fence = body.value("fence", uint64_t{0});
  if (fence < m_fence) {
    Json answer = Base();
    answer["reason"] = "fence";
    respond(409, answer.dump());
    return;
  }
  m_fence = fence;
  if (target == "/bronzeworks/run-start") {
    HandleStart(body, respond);
  } else if (target == "/bronzeworks/run-stop") {
    HandleStop(body, respond);
  } else if (target == "/bronzeworks/hold") {
    HandleHold(body, respond);
  } else {
    respond(200, Base().dump());
  }
}

void Runner::Extend(const Json& aBody) {
  const int64_t wanted = aBody.value("deadline_ms", int64_t{0});
  const int64_t longest = ClockMs() + m_options.m_maxHoldMs;
  m_deadline = std::max(m_deadline, std::min(wanted, longest));
}

void Runner::HandleStart(const Json& aBody, const Respond& aRespond) {
  const std::string task = aBody.at("task");
  const auto number = aBody.at("run").get<uint64_t>();
  Json answer = Base();
  const auto refuse = [&](const char* aReason) {
    Record("start refused runner=" + m_options.m_id + " task=" + task +
           " run=" + std::to_string(number) + " reason=" + aReason);
    answer["reason"] = aReason;
    aRespond(409, answer.dump());
  };
  if (m_sheds) {
    ++m_shed;
    Record("start answered with 503 runner=" + m_options.m_id +
           " task=" + task + " run=" + std::to_string(number));
    aRespond(503, answer.dump());
    return;
  }
  const int64_t deadline = aBody.value("deadline_ms", int64_t{0});
  if (deadline <= ClockMs()) {
    refuse("late");
    return;
  }
  Extend(aBody);
  const auto running = m_running.find(task);
  if (running != m_running.end() && running->second->m_number == number) {
    aRespond(200, answer.dump());
    return;
  }
  const auto highest = m_highest.find(task);
  if ((highest != m_highest.end() && number <= highest->second) ||
      running != m_running.end()) {
    refuse("old");
    return;
  }
  const Work work = m_book.WorkOf(task);
  Work used = work;
  for (const auto& [other, run] : m_running) {
    used.m_cpu += run->m_work.m_cpu;
    used.m_memory += run->m_work.m_memory;
  }
  if (used.m_cpu > m_options.m_cpu || used.m_memory > m_options.m_memory) {
    refuse("room");
    return;
  }
  auto run = std::make_shared<Run>();
  run->m_runner = m_options.m_id;
  run->m_task = task;
  run->m_number = number;
  run->m_work = work;
  run->m_startedAt = Now();
  m_running[task] = run;
  m_book.m_runs.push_back(run);
  m_book.m_byTask[task].push_back(run);
  Record("start runner=" + m_options.m_id + " task=" + task +
         " run=" + std::to_string(number));
  aRespond(200, answer.dump());
}

void Runner::HandleStop(const Json& aBody, const Respond& aRespond) {
  const std::string task = aBody.at("task");
  const auto number = aBody.at("run").get<uint64_t>();
  uint64_t& highest = m_highest[task];
  highest = std::max(highest, number);
  const auto running = m_running.find(task);
  if (running != m_running.end() && running->second->m_number <= number) {
    // A stop takes at most stop_timeout_ms.
    auto timer = std::make_shared<asio::steady_timer>(
        m_io, std::chrono::milliseconds(m_options.m_stopMs));
    timer->async_wait([this, timer, run = running->second](beast::error_code) {
      const auto found = m_running.find(run->m_task);
      if (found == m_running.end() || found->second != run) return;
      EndRun(run, "stopped");
      WakeHolds();
    });
  }
  aRespond(200, Base().dump());
}

void Runner::HandleHold(const Json& aBody, const Respond& aRespond) {
  Extend(aBody);
  const uint64_t seen = aBody.value("last_seen", uint64_t{0});
  while (!m_ends.empty() && m_ends.front().m_number <= seen) {
    Run& run = *m_ends.front().m_run;
    run.m_notedAt = Now();
    run.m_lapsedBetween = m_lastLapseAt >= run.m_endedAt;
    m_ends.pop_front();
  }
  const int64_t wait =
      std::min<int64_t>(2000, aBody.value("wait_ms", int64_t{0}));
  if (wait == 0 || !m_ends.empty()) {
    SendLists(aRespond);
    return;
  }
  const uint64_t id = ++m_nextWaiting;
  auto timer = std::make_shared<asio::steady_timer>(
      m_io, std::chrono::milliseconds(wait));
  m_waiting.push_back({id, aRespond, timer});
  timer->async_wait([this, id, timer](beast::error_code aError) {
    if (aError) return;
    for (auto at = m_waiting.begin(); at != m_waiting.end(); ++at) {
      if (at->m_id != id) continue;
      const Respond respond = at->m_respond;
      m_waiting.erase(at);
      SendLists(respond);
      return;
    }
  });
}

void Runner::WakeHolds() {
  std::list<Waiting> waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const Waiting& hold : waiting) {
    hold.m_timer->cancel();
    SendLists(hold.m_respond);
  }
}

namespace {

/** A new checkpoint with each half second of work, of 16 digits. */
std::string CheckpointOf(const Run& aRun) {
  const int64_t number = (Now() - aRun.m_startedAt) / 500;
  if (!aRun.m_work.m_saves || number == 0) return "";
  char text[17];
  snprintf(text, sizeof text, "%08x%08x",
           static_cast<unsigned>(std::hash<std::string>()(aRun.m_task)),
           static_cast<unsigned>(number));
  return text;
}

}  // namespace

void Runner::SendLists(const Respond& aRespond) {
  Json answer = Base();
  answer["running"] = Json::array();
  for (const auto& [task, run] : m_running) {
    const Work& work = run->m_work;
    const int64_t since = Now() - run->m_startedAt;
    const int64_t percent =
        work.m_lasts ? 100
                     : std::min<int64_t>(
                           99, since * 100 / std::max<int64_t>(1, work.m_ms));
    answer["running"].push_back({task, run->m_number, CheckpointOf(*run),
                                 percent, work.m_lasts ? 20 : work.m_cpu});
  }
  answer["finished"] = Json::array();
  for (const End& end : m_ends) {
    if (answer["finished"].size() >= kEndsAtATime) break;
    answer["finished"].push_back({end.m_number, end.m_run->m_task,
                                  end.m_run->m_number, end.m_run->m_how, ""});
  }
  aRespond(200, answer.dump());
}

// -------------------------------------------------------------------- Node

Node::Node(std::string aProgram, std::string aFolder, std::string aName,
           std::string aIp, std::string aStoreAddress, Json aBounds,
           double aCpuShare)
    : m_program(std::move(aProgram)),
      m_folder(std::move(aFolder)),
      m_name(std::move(aName)),
      m_ip(std::move(aIp)) {
  std::ofstream file(m_folder + "/" + m_name + ".yaml");
  file << "node_name: \"" << m_name << "\"\nrole: \"entry\"\n"
       << "machine_class: \"front\"\nserves:\n  - \"front\"\nip: \"" << m_ip
       << "\"\nzone: \"z-a\"\nregion: \"reg\"\nzones:\n  z-a: \"reg\"\n"
       << "listen:\n  front: \"" << m_ip << ":8161\"\n  ready: \"" << m_ip
       << ":8167\"\nport_range:\n  - 7720\n  - 7735\nseeds: []\n"
       << "bootstrap: true\nlimits:\n  cpu_share: " << aCpuShare
       << "\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n"
       << "  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n"
       << "discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1500\n"
       << "bounds:\n";
  for (const auto& [name, value] : aBounds.items()) {
    file << "  " << name << ": " << value.dump() << "\n";
  }
  file << "orders: \"invoke\"\nplatform:\n  address: \"" << aStoreAddress
       << "\"\n  form: \"table\"\n  writes_per_s: 600\n  reads_per_s: 2000\n"
       << "  tx_ms: 8.0\n  part_writes_s: 150\n  row_bytes: 65536\n"
       << "  across: false\n  history_s: 20\n";
  sNodes.push_back(this);
}

void Node::Start() {
  const std::string log = m_folder + "/" + m_name + ".log";
  const std::string settings = m_folder + "/" + m_name + ".yaml";
  const int pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (int other = 3; other < 1024; ++other) close(other);
    const std::string variable = "BRONZEWORKS_CONFIG=" + settings;
    const char* path = getenv("PATH");
    const std::string pathVariable =
        std::string("PATH=") + (path == nullptr ? "" : path);
    char* const arguments[] = {const_cast<char*>(m_program.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(pathVariable.c_str()),
                                 nullptr};
    execve(m_program.c_str(), arguments, environment);
    _exit(127);
  }
  m_pid = pid;
  Record("process started node=" + m_name);
}

void Node::Kill(int aSignal) {
  if (m_pid <= 0) return;
  kill(m_pid, aSignal);
  Record("signal " + std::to_string(aSignal) + " node=" + m_name);
  if (aSignal != SIGKILL) return;
  waitpid(m_pid, &m_status, 0);
  m_pid = 0;
}

bool Node::HasEnded() {
  if (m_pid <= 0) return false;
  if (waitpid(m_pid, &m_status, WNOHANG) != m_pid) return false;
  m_pid = 0;
  Record("process ended by itself node=" + m_name +
         (WIFSIGNALED(m_status)
              ? " by signal " + std::to_string(WTERMSIG(m_status))
              : " with code " + std::to_string(WEXITSTATUS(m_status))));
  return true;
}

// -------------------------------------------------------------- Deployment

Deployment::Deployment(asio::io_context& aIo, size_t aNodes,
                       const std::string& aSite)
    : m_io(aIo) {
  const bool isSteppe = aSite == "steppe-stitch";
  m_cpuShare = isSteppe ? 0.25 : 0.1;
  m_maxHoldMs = isSteppe ? 10000 : 6000;
  const int pid = getpid();
  m_base = "127." + std::to_string(20 + pid % 200) + "." +
           std::to_string(pid / 200 % 250) + ".";
  const char* folder = getenv("REVIEW_TEMP");
  m_folder = folder == nullptr ? "." : folder;
  m_bounds = {{"contact_ms", 3000},
              {"ack_ms", 4000},
              {"drain_ms", 2000},
              {"grace_s", 6},
              {"config_apply_ms", 2000},
              {"max_hold_ms", m_maxHoldMs},
              {"stop_timeout_ms", isSteppe ? 400 : 200},
              {"cancel_ms", 3000},
              {"visible_ms", 3000},
              {"early_ms", 250},
              {"finish_s", 14},
              {"status_s", 120},
              {"spread_factor", isSteppe ? 3.0 : 1.5}};
  m_store = std::make_unique<Store>(aIo, m_base + "1");
  const char* program = getenv("REVIEW_PROGRAM");
  for (size_t at = 0; at < aNodes; ++at) {
    m_nodes.push_back(std::make_unique<Node>(
        program == nullptr ? "target/src/scheduler/bronze-scheduler" : program,
        m_folder, "front-" + std::to_string(at + 1),
        m_base + std::to_string(11 + at), m_store->Address(), m_bounds,
        m_cpuShare));
  }
}

Deployment::~Deployment() {
  for (const auto& node : m_nodes) node->Kill(SIGKILL);
}

Runner& Deployment::AddRunner(RunnerOptions aOptions) {
  aOptions.m_maxHoldMs = m_maxHoldMs;
  m_runners.push_back(std::make_unique<Runner>(m_io, m_base + "2", *m_store,
                                               m_book, std::move(aOptions)));
  m_runners.back()->Start();
  return *m_runners.back();
}

void Deployment::PutConfig(int aVersion, int aAttempts) {
  Json route = {
      {"name", "queue"},  {"host", "h.example"}, {"path_prefix", "/queue/"},
      {"kind", "unsafe"}, {"timeout_ms", 3000},  {"target_latency_ms", 250},
      {"priority", 0},    {"service", "pool"},   {"max_attempts", aAttempts},
      {"stretch", 1.5}};
  Json service = {{"name", "pool"},  {"health_path", "/healthz"},
                  {"max_conns", 64}, {"protocol", "h1"},
                  {"tls", false},    {"rejects_overload", true},
                  {"standby", false}};
  Json limits = {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}};
  m_store->Put("op", "config",
               {{"version", aVersion},
                {"routes", Json::array({route})},
                {"services", Json::array({service})},
                {"limits", limits}});
}

asio::awaitable<bool> Deployment::Begin() {
  for (const auto& node : m_nodes) node->Start();
  const int64_t until = Now() + 20000;
  for (const auto& node : m_nodes) {
    while (true) {
      const HttpAnswer answer = co_await Call(
          node->Ready(), "GET", "/bronzeworks/readyz", "x", "", 500);
      if (answer.m_status == 200) break;
      if (Now() > until) co_return false;
      co_await Sleep(100);
    }
  }
  Record("all nodes are ready");
  co_return true;
}

asio::awaitable<HttpAnswer> Deployment::Submit(size_t aNode, std::string aId,
                                               Json aJob, int64_t aTimeoutMs) {
  m_book.m_jobs[aId] = aJob;
  HttpAnswer answer =
      co_await Call(m_nodes[aNode]->Front(), "POST", "/queue/" + aId,
                    "h.example", aJob.dump(), aTimeoutMs);
  Record("submit job=" + aId + " at " + m_nodes[aNode]->Name() +
         " status=" + std::to_string(answer.m_status) + " " + answer.m_body +
         answer.m_problem);
  co_return answer;
}

asio::awaitable<bool> Deployment::SubmitUntilAccepted(std::string aId,
                                                      Json aJob) {
  for (size_t at = 0; at < 30; ++at) {
    const HttpAnswer answer = co_await Submit(at % m_nodes.size(), aId, aJob);
    if (answer.m_status / 100 == 2) co_return true;
    co_await Sleep(300);
  }
  co_return false;
}

asio::awaitable<HttpAnswer> Deployment::LookUp(size_t aNode, std::string aId,
                                               int64_t aTimeoutMs) {
  HttpAnswer answer =
      co_await Call(m_nodes[aNode]->Front(), "GET", "/queue/" + aId,
                    "h.example", "", aTimeoutMs);
  Record("look up job=" + aId + " at " + m_nodes[aNode]->Name() +
         " status=" + std::to_string(answer.m_status) + " " + answer.m_body +
         answer.m_problem);
  co_return answer;
}

Node* Deployment::FindOwner() {
  Node* owner = nullptr;
  uint64_t newest = 0;
  for (const auto& node : m_nodes) {
    std::ifstream log(m_folder + "/" + node->Name() + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const size_t at = line.find("became owner");
      if (at == std::string::npos) continue;
      const uint64_t fence = std::stoull(line.substr(line.find("fence=") + 6));
      if (fence < newest) continue;
      newest = fence;
      owner = node.get();
    }
  }
  return owner;
}

int RunCase(const std::function<asio::awaitable<int>(asio::io_context&, bool)>&
                aScenario) {
  signal(SIGPIPE, SIG_IGN);
  const char* record = getenv("REVIEW_RECORD");
  OpenRecord(record == nullptr ? "record.txt" : record);
  const char* trouble = getenv("TROUBLE");
  const bool isTrouble = trouble == nullptr || std::string(trouble) != "0";
  asio::io_context io(1);
  int code = 2;
  asio::co_spawn(
      io, aScenario(io, isTrouble), [&](std::exception_ptr aError, int aCode) {
        code = aCode;
        if (aError) {
          try {
            std::rethrow_exception(aError);
          } catch (const std::exception& error) {
            Record(std::string("the case couldn't run: ") + error.what());
          }
          code = 2;
        }
        io.stop();
      });
  asio::steady_timer limit(io, std::chrono::seconds(115));
  limit.async_wait([&](beast::error_code aError) {
    if (aError) return;
    Record("the case took too long");
    code = 2;
    io.stop();
  });
  io.run();
  for (Node* node : sNodes) node->Kill(SIGKILL);
  Record("exit code " + std::to_string(code));
  std::cout << "exit code " << code << std::endl;
  std::_Exit(code);
}

}  // namespace review
