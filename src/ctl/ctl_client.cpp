/**
 * @file ctl_client.cpp HTTP calls to the operators' interface.
 */

#include "ctl/ctl_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "core/error/error_func.h"
#include "net/address_func.h"
#include "net/http_client.h"

namespace bronze {

namespace {

/** Above any answer, as a whole configuration is below 1 MiB. */
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;
constexpr int kFirstErrorStatus = 400;

Error NoAnswer(const CtlOptions& aOptions, const std::string& aMethod,
               const CallOutcome& aOutcome, Duration aTimeout) {
  const std::string why =
      aOutcome.m_timedOut
          ? fmt::format("no answer within {} s", aTimeout / seconds(1))
          : aOutcome.m_error;
  if (aOutcome.m_stage == CallStage::NotConnected) {
    return MakeError(
        aOutcome.m_timedOut ? ErrorKind::Timeout : ErrorKind::ConnectionFailed,
        fmt::format("cannot reach the server {}: {}", aOptions.m_server, why));
  }
  if (aMethod == "GET") {
    return MakeError(
        aOutcome.m_timedOut ? ErrorKind::Timeout : ErrorKind::ConnectionFailed,
        fmt::format("no complete answer from the server {}: {}",
                    aOptions.m_server, why));
  }
  return MakeError(
      ErrorKind::OutcomeUnknown,
      fmt::format("no complete answer from the server {}: {}; the change may "
                  "have been made",
                  aOptions.m_server, why));
}

}  // namespace

Result<CtlAnswer> CallServer(const CtlOptions& aOptions,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const nlohmann::json& aBody, Duration aTimeout) {
  if (aOptions.m_server.empty()) {
    return MakeError(ErrorKind::Usage,
                     "no server given: use --server IP:PORT or the "
                     "environment variable BRONZE_SERVER");
  }
  const auto address = ParseAddress(aOptions.m_server);
  if (!address) return address.error();
  HttpCall call;
  call.m_method = aMethod;
  call.m_target = aTarget;
  if (!aOptions.m_token.empty()) {
    call.m_headers.emplace_back("Authorization", "Bearer " + aOptions.m_token);
  }
  if (!aBody.is_null()) {
    call.m_headers.emplace_back("Content-Type", "application/json");
    try {
      call.m_body = aBody.dump();
    } catch (const nlohmann::json::exception&) {
      return MakeError(ErrorKind::BadRequest, "the input is not valid UTF-8");
    }
  }
  boost::asio::io_context context;
  HttpClient client(context, {0, kMaxAnswerBytes});
  CallOutcome outcome;
  client.Call(address.value(), call, aTimeout,
              [&outcome](CallOutcome aDone) { outcome = std::move(aDone); });
  context.run();
  if (outcome.m_stage != CallStage::CompleteReply) {
    return NoAnswer(aOptions, aMethod, outcome, aTimeout);
  }
  auto body = nlohmann::json::parse(outcome.m_reply.m_body, nullptr, false);
  if (!body.is_object()) {
    // A daemon always answers with an object, so this may be another server
    // between it and us.
    const bool isChange = aMethod != "GET";
    return MakeError(
        isChange ? ErrorKind::OutcomeUnknown : ErrorKind::PeerMalformed,
        fmt::format("the server {} answered with HTTP status {} and without "
                    "a JSON object{}",
                    aOptions.m_server, outcome.m_reply.m_status,
                    isChange ? "; the change may have been made" : ""));
  }
  return CtlAnswer{outcome.m_reply.m_status, std::move(body)};
}

Error ErrorInAnswer(const CtlAnswer& aAnswer) {
  const std::string name = aAnswer.m_body.value("error", "internal");
  return MakeError(
      ErrorKindFromName(name),
      aAnswer.m_body.value("message", fmt::format("the server answered {} with "
                                                  "HTTP status {}",
                                                  name, aAnswer.m_status)));
}

Result<nlohmann::json> FetchFromServer(const CtlOptions& aOptions,
                                       const std::string& aMethod,
                                       const std::string& aTarget,
                                       const nlohmann::json& aBody) {
  auto answer = CallServer(aOptions, aMethod, aTarget, aBody);
  if (!answer) return answer.error();
  if (answer.value().m_status >= kFirstErrorStatus) {
    return ErrorInAnswer(answer.value());
  }
  return std::move(answer.value().m_body);
}

std::string UrlEncode(const std::string& aText) {
  return boost::urls::encode(aText, boost::urls::unreserved_chars);
}

}  // namespace bronze
