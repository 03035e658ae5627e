/**
 * @file row_store.cpp Simulates the platform's row store.
 *
 * Implements the platform's published protocol and keeps all data in memory.
 */

#include "standin/row_store.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/url/pct_string_view.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "standin/json_reply.h"

namespace bronze::standin {

namespace {

using Json = nlohmann::json;
namespace base64 = boost::beast::detail::base64;

/** Time between two polls of a call that waits for changes. */
constexpr Duration kPollInterval = milliseconds(10);

std::string Encode64(const std::string& aBytes) {
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::string Decode64(const std::string& aText) {
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), aText.data(), aText.size()).first);
  return bytes;
}

std::string QueryValue(const std::string& aTarget, const std::string& aName) {
  const size_t query = aTarget.find('?');
  if (query == std::string::npos) return {};
  const std::string text = "&" + aTarget.substr(query + 1);
  const size_t at = text.find("&" + aName + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + aName.size() + 2;
  const std::string encoded = text.substr(begin, text.find('&', begin) - begin);
  const auto value = boost::urls::make_pct_string_view(encoded);
  return value ? value->decode() : std::string();
}

Json RowJson(const std::tuple<std::string, std::string, std::string>& aKey,
             const std::string& aValue, uint64_t aVersion, bool aDeleted) {
  Json row = {{"table", std::get<0>(aKey)},
              {"part", std::get<1>(aKey)},
              {"key", std::get<2>(aKey)},
              {"ver", aVersion}};
  if (aDeleted) {
    row["deleted"] = true;
  } else {
    row["value"] = Encode64(aValue);
  }
  return row;
}

std::tuple<std::string, std::string, std::string> KeyOf(const Json& aRow) {
  return {aRow.at("table"), aRow.at("part"), aRow.at("key")};
}

/** Whether an entry of a transaction has the fields of its list, and within the
 *  limits. */
bool IsValidRow(const Json& aRow, std::string_view aList,
                const RowStoreLimits& aLimits) {
  if (!aRow.is_object()) return false;
  for (const char* name : {"table", "part", "key"}) {
    const auto field = aRow.find(name);
    if (field == aRow.end() || !field->is_string() ||
        field->get_ref<const std::string&>().size() > aLimits.m_nameBytes) {
      return false;
    }
  }
  if (aList == "expected") {
    return aRow.contains("ver") && aRow.at("ver").is_number_unsigned();
  }
  if (aList != "put") return true;
  return aRow.contains("value") && aRow.at("value").is_string() &&
         Decode64(aRow.at("value")).size() <= aLimits.m_rowBytes;
}

}  // namespace

RowStore::RowStore(ThreadPool& aThreads) : m_threads(aThreads) {}

boost::asio::ip::tcp::endpoint RowStore::Listen() {
  const int front = static_cast<int>(m_servers.size());
  m_servers.push_back(std::make_unique<HttpServer>(
      m_threads, HttpLimits(), m_counters,
      [this, front](size_t aThread, HttpCall aCall, auto aResponder) {
        Handle(front, aThread, aCall, aResponder);
      }));
  return m_servers.back()
      ->Listen({boost::asio::ip::address_v4::loopback(), 0})
      .value();
}

void RowStore::Write(const Key& aKey, const Row& aRow) {
  m_rows[aKey] = aRow;
  m_changes.emplace_back(aKey, aRow);
}

void RowStore::SetFaults(RowStoreFaults aFaults) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = aFaults;
}

void RowStore::Put(const std::string& aTable, const std::string& aPart,
                   const std::string& aKey, const std::string& aValue) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Write({aTable, aPart, aKey}, {aValue, ++m_version, false});
}

void RowStore::Remove(const std::string& aTable, const std::string& aPart,
                      const std::string& aKey) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Write({aTable, aPart, aKey}, {"", ++m_version, true});
}

std::string RowStore::Value(const std::string& aTable, const std::string& aPart,
                            const std::string& aKey) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_rows.find({aTable, aPart, aKey});
  return found == m_rows.end() ? "" : found->second.m_value;
}

size_t RowStore::CountRows(const std::string& aTable) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  size_t count = 0;
  for (const auto& [key, row] : m_rows) {
    if (std::get<0>(key) == aTable && !row.m_deleted) ++count;
  }
  return count;
}

void RowStore::Handle(int aFront, size_t aThread, const HttpCall& aCall,
                      const std::shared_ptr<HttpResponder>& aResponder) {
  bool refuses = false;
  bool limits = false;
  bool loses = false;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    refuses =
        m_faults.m_refusesCalls || m_faults.m_refusedServer == aFront ||
        (!m_faults.m_unreadableTable.empty() &&
         QueryValue(aCall.m_target, "table") == m_faults.m_unreadableTable);
    ++m_calls;
    limits = m_faults.m_refusesEach > 0 && m_calls >= m_faults.m_refusesEach &&
             m_calls % m_faults.m_refusesEach < m_faults.m_refusedInRow;
    loses = m_faults.m_losesAnswers && ++m_callsWhileLosing % 2 == 0;
  }
  if (refuses || limits) {
    aResponder->Reply(JsonReply(refuses ? 503 : 429, Json::object()));
    return;
  }
  const std::string path = aCall.m_target.substr(0, aCall.m_target.find('?'));
  if (path == "/bronzeworks/rows-tx") {
    if (LoseTransaction(aThread, aCall, aResponder)) return;
    HttpReply reply = Transact(aCall);
    if (loses) {
      aResponder->Abort();
    } else {
      ReplyToTransaction(aThread, std::move(reply), aResponder);
    }
  } else if (path == "/bronzeworks/rows-get") {
    aResponder->Reply(ReadRange(aCall));
  } else if (path == "/bronzeworks/rows-feed") {
    const int wait = std::stoi(QueryValue(aCall.m_target, "wait_ms"));
    AwaitChanges(aThread, aCall, aResponder, wait / 10);
  } else {
    aResponder->Reply(JsonReply(404, Json::object()));
  }
}

uint64_t RowStore::InvalidTransactions() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_invalidTransactions;
}

int RowStore::RefusalOf(const HttpCall& aCall, const Json& aBody) const {
  constexpr int kBadRequest = 400;
  constexpr int kForbidden = 403;
  if (aCall.m_body.size() > m_limits.m_callBytes || !aBody.is_object()) {
    return kBadRequest;
  }
  size_t entries = 0;
  std::set<std::string> parts;
  std::set<std::string> tables;
  for (const auto& [key, row] : m_rows) tables.insert(std::get<0>(key));
  for (const char* list : {"expected", "put", "remove"}) {
    const Json rows = aBody.value(list, Json::array());
    if (!rows.is_array()) return kBadRequest;
    for (const Json& row : rows) {
      if (!IsValidRow(row, list, m_limits)) return kBadRequest;
      const std::string table = row.at("table");
      const bool isWritten = std::string_view(list) != "expected";
      if (isWritten && (table == "op" || table == "servers")) {
        return kForbidden;
      }
      tables.insert(table);
      parts.insert(row.at("part").get<std::string>());
      ++entries;
    }
  }
  for (const Json& row : aBody.value("put", Json::array())) {
    if (!m_faults.m_rejectedKey.empty() &&
        row.at("key") == m_faults.m_rejectedKey) {
      return kBadRequest;
    }
  }
  const bool isAccepted = entries <= m_limits.m_callEntries &&
                          parts.size() <= 1 &&
                          tables.size() <= m_limits.m_tables;
  return isAccepted ? 0 : kBadRequest;
}

HttpReply RowStore::Transact(const HttpCall& aCall) {
  const Json body = Json::parse(aCall.m_body, nullptr, false);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (const int status = RefusalOf(aCall, body); status != 0) {
    ++m_invalidTransactions;
    return JsonReply(status, Json::object());
  }
  bool holds = true;
  Json current = Json::array();
  for (const Json& expected : body.at("expected")) {
    const auto found = m_rows.find(KeyOf(expected));
    const bool exists = found != m_rows.end() && !found->second.m_deleted;
    const uint64_t version = exists ? found->second.m_version : 0;
    holds = holds && version == expected.at("ver").get<uint64_t>();
    if (exists) {
      current.push_back(RowJson(found->first, found->second.m_value,
                                found->second.m_version, false));
    }
  }
  if (!holds) {
    return JsonReply(
        412, {{"rows", current}, {"ver", m_version}, {"now_ms", NowMillis()}});
  }
  ++m_version;
  for (const Json& put : body.at("put")) {
    Write(KeyOf(put), {Decode64(put.at("value")), m_version, false});
  }
  for (const Json& removed : body.at("remove")) {
    Write(KeyOf(removed), {"", m_version, true});
  }
  return JsonReply(200, {{"ver", m_version}, {"now_ms", NowMillis()}});
}

bool RowStore::LoseTransaction(
    size_t aThread, const HttpCall& aCall,
    const std::shared_ptr<HttpResponder>& aResponder) {
  Duration delay{};
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Json body = Json::parse(aCall.m_body, nullptr, false);
    if (m_faults.m_lostKey.empty() || !body.is_object()) return false;
    const Json puts = body.value("put", Json::array());
    const bool holdsKey =
        std::any_of(puts.begin(), puts.end(), [this](const Json& aRow) {
          return aRow.at("key") == m_faults.m_lostKey;
        });
    if (!holdsKey) return false;
    if (m_lostFirst) {
      aResponder->Reply(JsonReply(403, Json::object()));
      return true;
    }
    m_lostFirst = true;
    delay = m_faults.m_lostDelay;
  }
  aResponder->Abort();
  if (delay == Duration(0)) {
    Transact(aCall);
    return true;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      m_threads.Context(aThread), delay);
  timer->async_wait([this, timer, aCall](boost::system::error_code aError) {
    if (!aError) Transact(aCall);
  });
  return true;
}

void RowStore::ReplyToTransaction(
    size_t aThread, HttpReply aReply,
    const std::shared_ptr<HttpResponder>& aResponder) {
  Duration delay{};
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    delay = m_faults.m_commitDelay;
    if (m_faults.m_gatewayStatus != 0 &&
        ++m_transactionsWhileGateway % 2 == 0) {
      aReply = JsonReply(m_faults.m_gatewayStatus, Json::object());
    }
  }
  if (delay == Duration(0)) {
    aResponder->Reply(std::move(aReply));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      m_threads.Context(aThread), delay);
  timer->async_wait([timer, reply = std::move(aReply),
                     aResponder](boost::system::error_code aError) mutable {
    if (!aError) aResponder->Reply(std::move(reply));
  });
}

HttpReply RowStore::ReadRange(const HttpCall& aCall) {
  const std::string table = QueryValue(aCall.m_target, "table");
  const std::string part = QueryValue(aCall.m_target, "part");
  const std::string from = QueryValue(aCall.m_target, "from");
  const std::lock_guard<std::mutex> lock(m_mutex);
  Json rows = Json::array();
  bool truncated = false;
  size_t bytes = 0;
  for (auto at = m_rows.lower_bound({table, part, from}); at != m_rows.end();
       ++at) {
    if (std::get<0>(at->first) != table || std::get<1>(at->first) != part) {
      break;
    }
    if (at->second.m_deleted) continue;
    bytes += at->second.m_value.size();
    const bool isFull =
        rows.size() == m_limits.m_answerRows || bytes > m_limits.m_answerBytes;
    if (isFull && !rows.empty()) {
      truncated = true;
      break;
    }
    rows.push_back(
        RowJson(at->first, at->second.m_value, at->second.m_version, false));
  }
  return JsonReply(200, {{"rows", rows},
                         {"truncated", truncated},
                         {"ver", m_version},
                         {"now_ms", NowMillis()}});
}

bool RowStore::ReadChanges(const HttpCall& aCall, HttpReply& aReply) {
  const std::string table = QueryValue(aCall.m_target, "table");
  const uint64_t after = std::stoull(QueryValue(aCall.m_target, "after"));
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_faults.m_refusesOldVersions) {
    m_faults.m_refusesOldVersions = false;
    aReply = JsonReply(410, Json::object());
    return true;
  }
  Json rows = Json::array();
  uint64_t version = m_version;
  size_t bytes = 0;
  const auto first =
      std::upper_bound(m_changes.begin(), m_changes.end(), after,
                       [](uint64_t aVersion, const auto& aChange) {
                         return aVersion < aChange.second.m_version;
                       });
  for (auto at = first; at != m_changes.end(); ++at) {
    const auto& [key, row] = *at;
    if (std::get<0>(key) != table) continue;
    bytes += row.m_value.size();
    const bool isFull =
        rows.size() >= m_limits.m_answerRows || bytes > m_limits.m_answerBytes;
    // The rows of one transaction share a version and stay together, as the
    // caller continues after a version.
    if (isFull && !rows.empty() &&
        rows.back().at("ver").get<uint64_t>() != row.m_version) {
      version = rows.back().at("ver");
      break;
    }
    rows.push_back(RowJson(key, row.m_value, row.m_version, row.m_deleted));
  }
  aReply = JsonReply(
      200, {{"rows", rows}, {"ver", version}, {"now_ms", NowMillis()}});
  return !rows.empty();
}

void RowStore::AwaitChanges(size_t aThread, const HttpCall& aCall,
                            const std::shared_ptr<HttpResponder>& aResponder,
                            int aPollsLeft) {
  HttpReply reply;
  if (ReadChanges(aCall, reply) || aPollsLeft <= 0) {
    aResponder->Reply(std::move(reply));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      m_threads.Context(aThread), kPollInterval);
  timer->async_wait([this, timer, aThread, aCall, aResponder,
                     aPollsLeft](boost::system::error_code aError) {
    if (!aError) AwaitChanges(aThread, aCall, aResponder, aPollsLeft - 1);
  });
}

}  // namespace bronze::standin
