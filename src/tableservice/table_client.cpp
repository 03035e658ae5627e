/**
 * @file table_client.cpp Client of the platform's table service.
 */

#include "tableservice/table_client.h"

#include <fmt/format.h>

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "core/metrics/counter_func.h"

namespace bronze {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

std::string UrlEncode(const std::string& aText) {
  return boost::urls::encode(aText, boost::urls::unreserved_chars);
}

/** Whether the status says that a commit was refused and nothing written. */
bool IsRefusal(int aStatus) {
  switch (aStatus) {
    case 400:
    case 403:
    case 404:
    case 429:
    case 503:
    case 507:
      return true;
    default:
      return false;
  }
}

CommitReply ToReply(const CallOutcome& aOutcome) {
  CommitReply reply;
  if (aOutcome.m_stage == CallStage::NotConnected) {
    reply.m_outcome = CommitOutcome::Unavailable;
    return reply;
  }
  if (aOutcome.m_stage != CallStage::CompleteReply) return reply;
  const int status = aOutcome.m_reply.m_status;
  if (IsRefusal(status)) reply.m_outcome = CommitOutcome::Unavailable;
  if (status != kStatusOk && status != kStatusConflict) return reply;
  auto result = DecodeCommitResult(aOutcome.m_reply.m_body);
  if (!result || result.value().m_committed != (status == kStatusOk)) {
    return reply;
  }
  TableCommitResult& committed = result.value();
  reply.m_outcome = committed.m_committed ? CommitOutcome::Committed
                                          : CommitOutcome::Conflict;
  reply.m_version = committed.m_version;
  reply.m_conflicts = std::move(committed.m_conflicts);
  return reply;
}

/** @return a handler of bodies: passes the decoded value, or the error, on. */
template <class T>
auto DecodeThen(Result<T> (*aDecode)(std::string_view),
                std::function<void(Result<T>)> aHandler) {
  return [aDecode, handler = std::move(aHandler)](Result<std::string> aBody) {
    if (!aBody) {
      handler(aBody.error());
      return;
    }
    handler(aDecode(aBody.value()));
  };
}

}  // namespace

void TableClient::Commit(const TableTransaction& aTransaction,
                         Duration aTimeout,
                         std::function<void(CommitReply aReply)> aHandler) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/table/commit";
  call.m_body = EncodeTransaction(aTransaction);
  m_client.Call(m_platform, call, aTimeout,
                [handler = std::move(aHandler)](CallOutcome aOutcome) {
                  handler(ToReply(aOutcome));
                });
}

void TableClient::ReadRow(const std::string& aKey, Duration aTimeout,
                          std::function<void(Result<TableRow>)> aHandler) {
  Get("/table/row?key=" + UrlEncode(aKey), aTimeout,
      DecodeThen<TableRow>(&DecodeRow, std::move(aHandler)));
}

void TableClient::Scan(const std::string& aPrefix, const std::string& aAfter,
                       size_t aLimit, Duration aTimeout,
                       std::function<void(Result<TableScan>)> aHandler) {
  Get(fmt::format("/table/scan?prefix={}&after={}&limit={}", UrlEncode(aPrefix),
                  UrlEncode(aAfter), aLimit),
      aTimeout, DecodeThen<TableScan>(&DecodeScan, std::move(aHandler)));
}

void TableClient::Get(std::string aTarget, Duration aTimeout,
                      std::function<void(Result<std::string>)> aHandler) {
  Count(m_counters, CounterId::StoreReads);
  HttpCall call;
  call.m_method = "GET";
  call.m_target = std::move(aTarget);
  m_client.Call(
      m_platform, call, aTimeout,
      [this, handler = std::move(aHandler)](CallOutcome aOutcome) {
        const bool whole = aOutcome.m_stage == CallStage::CompleteReply;
        if (whole && aOutcome.m_reply.m_status == kStatusOk) {
          handler(std::move(aOutcome.m_reply.m_body));
          return;
        }
        Count(m_counters, CounterId::StoreReadsFailed);
        handler(MakeError(
            ErrorKind::StoreUnavailable,
            whole
                ? fmt::format("the table service answered with HTTP status {}",
                              aOutcome.m_reply.m_status)
                : "call to the table service failed: " + aOutcome.m_error));
      });
}

}  // namespace bronze
