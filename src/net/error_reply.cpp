/**
 * @file error_reply.cpp The HTTP reply for an error.
 */

#include "net/error_reply.h"

#include <nlohmann/json.hpp>

#include "core/error/error_func.h"

namespace bronze {

namespace {

constexpr int kRetryAfterMs = 500;

}  // namespace

HttpReply ErrorReply(const Error& aError) {
  const ErrorAnswer& answer = AnswerFor(aError.m_kind);
  nlohmann::json body = {{"error", answer.m_name},
                         {"message", aError.m_message},
                         {"run", RunStateName(answer.m_runState)}};
  if (answer.m_mayRetry) body["retry_after_ms"] = kRetryAfterMs;
  HttpReply reply;
  reply.m_status = answer.m_httpStatus;
  reply.m_body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  reply.m_body += '\n';
  return reply;
}

}  // namespace bronze
