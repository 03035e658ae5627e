/**
 * @file answer_check.cpp Checks that an answer is complete and belongs to its
 * request.
 */

#include "load/answer_check.h"

#include <nlohmann/json.hpp>

#include "standin/runner_answer.h"

namespace bronze {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusError = 400;

std::string TextOf(const nlohmann::json& aJson, const char* aMember) {
  const auto found = aJson.find(aMember);
  return found != aJson.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

AttemptResult ClassifyError(const HttpReply& aReply) {
  const auto parsed = nlohmann::json::parse(aReply.m_body, nullptr, false);
  if (!parsed.is_object()) return {RequestOutcome::Malformed, {}};
  const std::string error = TextOf(parsed, "error");
  const std::string run = TextOf(parsed, "run");
  if (error.empty() || run.empty()) return {RequestOutcome::Malformed, {}};
  return {run == "not_run" ? RequestOutcome::Refused : RequestOutcome::Unknown,
          error};
}

RequestOutcome ClassifyAnswer(ReceivedMarkers& aReceived,
                              const LoadRequest& aRequest,
                              const HttpReply& aReply) {
  const auto answer = DecodeRunnerAnswer(aReply.m_body);
  if (!answer || answer->m_digest != DigestOf(answer->m_body)) {
    return RequestOutcome::Malformed;
  }
  const std::string marker = MarkerOf(answer->m_body);
  if (!aReceived.m_seen.insert(marker).second) return RequestOutcome::Duplicate;
  return answer->m_body == aRequest.m_body && answer->m_kind == aRequest.m_kind
             ? RequestOutcome::Answered
             : RequestOutcome::Misdelivered;
}

}  // namespace

AttemptResult ClassifyAttempt(ReceivedMarkers& aReceived,
                              const LoadRequest& aRequest,
                              const CallOutcome& aOutcome) {
  switch (aOutcome.m_stage) {
    case CallStage::NotConnected:
      return {RequestOutcome::NotConnected, "connection_failed"};
    case CallStage::PartlySent:
    case CallStage::Sent:
    case CallStage::PartlyRead:
      return {
          aOutcome.m_timedOut ? RequestOutcome::Lost : RequestOutcome::Broken,
          {}};
    case CallStage::WholeAnswer:
      break;
  }
  const int status = aOutcome.m_reply.m_status;
  if (status >= kStatusError) return ClassifyError(aOutcome.m_reply);
  if (status != kStatusOk) return {RequestOutcome::Malformed, {}};
  return {ClassifyAnswer(aReceived, aRequest, aOutcome.m_reply), {}};
}

bool MayRetry(const LoadRequest& aRequest, RequestOutcome aAttemptOutcome,
              size_t aTargets, TimePoint aNow) {
  if (aRequest.m_tried.size() >= aTargets || aNow >= aRequest.m_deadline) {
    return false;
  }
  // If no byte was sent, the request cannot have run, so that requests which
  // are not idempotent may be retried, too.
  return aAttemptOutcome == RequestOutcome::NotConnected ||
         (aAttemptOutcome == RequestOutcome::Broken &&
          IsIdempotent(aRequest.m_kind));
}

}  // namespace bronze
