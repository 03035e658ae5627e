/**
 * @file store_client.cpp Client of the platform's row store.
 */

#include "platform/store_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "platform/json_reader.h"
#include "platform/wire_decode.h"

namespace bronze {

namespace {

namespace base64 = boost::beast::detail::base64;
namespace json = boost::json;

constexpr int kTooManyCalls = 429;
/** Commits, reads and waits for changes run in parallel. */
constexpr size_t kIdleConnections = 6;
/** The store sends at most 1 MB of rows in one answer; base64 adds a third. */
constexpr size_t kMaxAnswerBytes = size_t{4} << 20;
/** Rows that the store sends in one answer at most. */
constexpr size_t kMaxAnswerRows = 500;
/** An answer that is at least this large counts as full. The store sends at
 *  most 1 MB of rows, leaves out a row that would exceed that, and the largest
 *  rows are those of the operators, with some 350 KB in base64. */
constexpr size_t kFullAnswerBytes = size_t{600} * 1000;
/** Largest integer that a JSON number holds exactly. */
constexpr int64_t kMaxExactInteger = int64_t{1} << 53;
/** Added to the wait for changes that Watch asks for. */
constexpr Duration kWatchMargin = milliseconds(700);

/** An answer that took longer than this replaces the reading of the store's
 *  clock only if that reading is older than kReadingMaxAge. */
constexpr Duration kMaxPreciseRoundTrip = milliseconds(100);
constexpr Duration kReadingMaxAge = seconds(10);

std::string Encode64(std::string_view aBytes) {
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::string Decode64(std::string_view aText) {
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), aText.data(), aText.size()).first);
  return bytes;
}

/** Keys of rows that other programs write may contain any byte. */
std::string QueryText(std::string_view aText) {
  return boost::urls::encode({aText.data(), aText.size()},
                             boost::urls::unreserved_chars);
}

json::object KeyJson(const RowKey& aKey) {
  return {{"table", aKey.m_table}, {"part", aKey.m_part}, {"key", aKey.m_key}};
}

std::string TransactionBody(const StoreTransaction& aTransaction) {
  json::array expected;
  for (const RowCondition& condition : aTransaction.m_expected) {
    json::object row = KeyJson(condition.m_key);
    row["ver"] = condition.m_version.Value();
    expected.push_back(std::move(row));
  }
  json::array puts;
  for (const StoreRow& put : aTransaction.m_puts) {
    json::object row = KeyJson(put.m_key);
    row["value"] = Encode64(put.m_value);
    puts.push_back(std::move(row));
  }
  json::array removes;
  for (const RowKey& key : aTransaction.m_removes) {
    removes.push_back(KeyJson(key));
  }
  return json::serialize(json::object{{"expected", std::move(expected)},
                                      {"put", std::move(puts)},
                                      {"remove", std::move(removes)}});
}

/** @return whether the row is valid. */
bool ReadRow(const json::value& aValue, StoreRow& aRow) {
  JsonReader reader(aValue);
  aRow.m_key = {reader.Text("table"), reader.Text("part"), reader.Text("key")};
  aRow.m_version = RowVersion(
      static_cast<uint64_t>(reader.Integer("ver", 0, 0, kMaxExactInteger)));
  aRow.m_deleted = reader.Flag("deleted");
  aRow.m_value = Decode64(reader.Text("value"));
  return !reader.Failed();
}

StoreOutcome OutcomeOf(const CallOutcome& aOutcome) {
  if (aOutcome.m_stage == CallStage::NotConnected) return StoreOutcome::Refused;
  if (aOutcome.m_stage != CallStage::CompleteReply)
    return StoreOutcome::Unknown;
  switch (aOutcome.m_reply.m_status) {
    case 200:
      return StoreOutcome::Done;
    case 410:
      return StoreOutcome::HistoryLost;
    case 412:
      return StoreOutcome::Conflict;
    case 400:
    case 403:
    case 404:
      return StoreOutcome::Rejected;
    case kTooManyCalls:
    case 503:
    case 507:
      return StoreOutcome::Refused;
    default:
      // Only the statuses above say that nothing was done.
      return StoreOutcome::Unknown;
  }
}

RowsResult DecodeRows(const CallOutcome& aOutcome, bool aIsRead) {
  RowsResult result;
  result.m_outcome = OutcomeOf(aOutcome);
  if (result.m_outcome != StoreOutcome::Done &&
      result.m_outcome != StoreOutcome::Conflict) {
    return result;
  }
  const auto body = ParseJson(aOutcome.m_reply.m_body);
  if (!body) {
    result.m_outcome = StoreOutcome::Malformed;
    return result;
  }
  JsonReader reader(body.value());
  result.m_version = RowVersion(
      static_cast<uint64_t>(reader.Integer("ver", 0, 0, kMaxExactInteger)));
  result.m_truncated = reader.Flag("truncated");
  const int64_t storeTime = reader.Integer("now_ms", -1, -1, kMaxExactInteger);
  if (storeTime >= 0) result.m_storeTime = StoreMillis(storeTime);
  // The answer to a read without rows has an empty list.
  if (aIsRead) reader.Require("rows");
  if (const json::array* rows = reader.List("rows")) {
    result.m_isFull = rows->size() >= kMaxAnswerRows ||
                      aOutcome.m_reply.m_body.size() >= kFullAnswerBytes;
    for (const json::value& value : *rows) {
      StoreRow row;
      if (ReadRow(value, row)) result.m_rows.push_back(std::move(row));
    }
  }
  // Every answer about rows tells the store's clock.
  if (reader.Failed() || !result.m_storeTime) {
    result.m_outcome = StoreOutcome::Malformed;
    result.m_rows.clear();
  }
  return result;
}

/** @return the highest version in the conditions. */
RowVersion NewestExpected(const StoreTransaction& aTransaction) {
  RowVersion newest;
  for (const RowCondition& condition : aTransaction.m_expected) {
    newest = std::max(newest, condition.m_version);
  }
  return newest;
}

}  // namespace

StoreClient::StoreClient(boost::asio::io_context& aContext,
                         boost::asio::ip::tcp::endpoint aAddress,
                         std::function<TimePoint()> aClock,
                         std::shared_ptr<ReplyBudget> aBudget)
    : m_address(std::move(aAddress)),
      m_client(
          aContext,
          {kIdleConnections, kMaxAnswerBytes, SIZE_MAX, std::move(aBudget)},
          ReadStoreClock),
      m_clock(std::move(aClock)) {}

std::optional<StoreMillis> StoreClient::StoreTimeUpperBound(
    TimePoint aLocal) const {
  if (!m_reading) return {};
  return m_reading->m_storeClock +
         StoreMillis(
             std::chrono::ceil<milliseconds>(aLocal - m_reading->m_askedAt)
                 .count());
}

std::optional<TimePoint> StoreClient::LocalTimeUpperBound(
    StoreMillis aTime) const {
  if (!m_reading) return {};
  return m_reading->m_answeredAt +
         milliseconds((aTime - m_reading->m_storeClock).Value());
}

void StoreClient::UpdateClockReading(const RowsResult& aResult,
                                     TimePoint aAskedAt) {
  // A quick answer bounds the store's clock closely, while one that waited for
  // changes does not. Prefer the newest quick answer, as clocks drift.
  if (!aResult.m_storeTime) return;
  const TimePoint now = m_clock();
  if (now - aAskedAt > kMaxPreciseRoundTrip && m_reading &&
      now - m_reading->m_answeredAt < kReadingMaxAge) {
    return;
  }
  m_reading = ClockReading{*aResult.m_storeTime, aAskedAt, now};
}

void StoreClient::Call(HttpCall aCall, Duration aTimeout, CallOptions aOptions,
                       std::function<void(CallOutcome)> aHandler) {
  ++m_calls;
  m_client.Call(
      m_address, aCall, aTimeout,
      [this, handler = std::move(aHandler)](CallOutcome aOutcome) {
        if (aOutcome.m_stage != CallStage::CompleteReply ||
            aOutcome.m_reply.m_status >= kTooManyCalls) {
          ++m_failures;
        } else {
          m_answeredAt = m_clock();
        }
        handler(std::move(aOutcome));
      },
      std::move(aOptions));
}

void StoreClient::Transact(const StoreTransaction& aTransaction,
                           Duration aTimeout,
                           std::function<void(TransactionResult)> aHandler) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/bronzeworks/rows-tx";
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = TransactionBody(aTransaction);
  // Whether something was written must not depend on what the store does with
  // the answers to other calls.
  Call(std::move(call), aTimeout, {false, {}, true},
       [this, askedAt = m_clock(), newest = NewestExpected(aTransaction),
        handler = std::move(aHandler)](CallOutcome aOutcome) {
         RowsResult rows = DecodeRows(aOutcome, false);
         // Each transaction gets a higher version than those before it.
         if (rows.m_outcome == StoreOutcome::Done && rows.m_version <= newest) {
           rows.m_outcome = StoreOutcome::Malformed;
         }
         UpdateClockReading(rows, askedAt);
         const bool answered = aOutcome.m_stage == CallStage::CompleteReply;
         const int status = answered ? aOutcome.m_reply.m_status : 0;
         handler({rows.m_outcome, rows.m_version, std::move(rows.m_rows),
                  status == kTooManyCalls, status, aOutcome.m_origin});
       });
}

void StoreClient::ReadRows(std::string aTarget, Duration aTimeout,
                           std::function<bool(const RowKey&)> aBelongs,
                           std::function<void(RowsResult)> aHandler) {
  HttpCall call;
  call.m_method = "GET";
  call.m_target = std::move(aTarget);
  Call(std::move(call), aTimeout, {},
       [this, askedAt = m_clock(), belongs = std::move(aBelongs),
        handler = std::move(aHandler)](CallOutcome aOutcome) {
         RowsResult rows = DecodeRows(aOutcome, true);
         const bool isForeign = !std::all_of(
             rows.m_rows.begin(), rows.m_rows.end(),
             [&](const StoreRow& aRow) { return belongs(aRow.m_key); });
         if (isForeign) {
           rows.m_outcome = StoreOutcome::Malformed;
           rows.m_rows.clear();
         }
         UpdateClockReading(rows, askedAt);
         handler(std::move(rows));
       });
}

void StoreClient::Read(const std::string& aTable, const std::string& aPart,
                       const std::string& aFrom, Duration aTimeout,
                       std::function<void(RowsResult)> aHandler) {
  std::string target = fmt::format("/bronzeworks/rows-get?table={}&part={}",
                                   QueryText(aTable), QueryText(aPart));
  if (!aFrom.empty()) target += "&from=" + QueryText(aFrom);
  ReadRows(
      std::move(target), aTimeout,
      [aTable, aPart, aFrom](const RowKey& aKey) {
        return aKey.m_table == aTable && aKey.m_part == aPart &&
               aKey.m_key >= aFrom;
      },
      std::move(aHandler));
}

void StoreClient::Watch(const std::string& aTable, RowVersion aAfter,
                        Duration aWait,
                        std::function<void(RowsResult)> aHandler) {
  const auto wait = std::chrono::duration_cast<milliseconds>(aWait).count();
  ReadRows(
      fmt::format("/bronzeworks/rows-feed?table={}&after={}&wait_ms={}", aTable,
                  aAfter.Value(), wait),
      aWait + kWatchMargin,
      [aTable](const RowKey& aKey) { return aKey.m_table == aTable; },
      std::move(aHandler));
}

}  // namespace bronze
