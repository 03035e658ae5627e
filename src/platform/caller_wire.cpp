/**
 * @file caller_wire.cpp Decodes callers' HTTP calls into typed requests, and
 * encodes the answers.
 */

#include "platform/caller_wire.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "platform/wire_decode.h"

namespace bronze {

namespace {

/** Used when a caller sends no valid X-Deadline-Ms. */
constexpr Duration kDefaultWindow = seconds(3);
constexpr Duration kMaxWindow = seconds(30);

std::string HostOf(const HttpCall& aCall) {
  std::string host = aCall.Header("Host");
  host = host.substr(0, host.find(':'));
  std::transform(host.begin(), host.end(), host.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return host;
}

const sched::QueueConfig* FindQueue(const sched::LiveConfig& aConfig,
                                    std::string_view aHost,
                                    std::string_view aPath) {
  const sched::QueueConfig* best = nullptr;
  for (const sched::QueueConfig& queue : aConfig.m_queues) {
    if (queue.m_host != aHost || !aPath.starts_with(queue.m_pathPrefix)) {
      continue;
    }
    if (best == nullptr ||
        queue.m_pathPrefix.size() > best->m_pathPrefix.size()) {
      best = &queue;
    }
  }
  return best;
}

Duration WindowOf(const HttpCall& aCall) {
  const std::string text = aCall.Header("X-Deadline-Ms");
  int64_t millis = 0;
  const auto [at, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || millis <= 0) return kDefaultWindow;
  return std::min<Duration>(milliseconds(millis), kMaxWindow);
}

Result<CallerRequest> DecodeSubmission(const HttpCall& aCall,
                                       const sched::QueueConfig& aQueue,
                                       CallerRequest aRequest) {
  auto spec = DecodeJobBody(aCall.m_body);
  if (!spec) return spec.error();
  aRequest.m_verb = CallerVerb::Submit;
  aRequest.m_spec = std::move(spec.value());
  aRequest.m_spec.m_id = aRequest.m_job;
  aRequest.m_spec.m_queue = aQueue.m_id;
  aRequest.m_spec.m_policy = aQueue.m_policy;
  const auto checked = sched::CheckJob(aRequest.m_spec);
  if (!checked) return checked.error();
  return aRequest;
}

}  // namespace

Result<CallerRequest> DecodeCallerCall(const HttpCall& aCall,
                                       const sched::LiveConfig& aConfig) {
  if (aConfig.m_version.Value() == 0) {
    return MakeError(ErrorKind::NotReady, "no configuration has been read yet");
  }
  const std::string_view target = aCall.m_target;
  const std::string_view path = target.substr(0, target.find('?'));
  const sched::QueueConfig* queue = FindQueue(aConfig, HostOf(aCall), path);
  if (queue == nullptr) {
    return MakeError(ErrorKind::UnknownRoute,
                     "no queue serves this host and path");
  }
  CallerRequest request;
  request.m_queue = queue->m_id;
  request.m_window = WindowOf(aCall);
  const std::string_view rest = path.substr(queue->m_pathPrefix.size());
  if (rest.empty()) {
    if (aCall.m_method != "GET") {
      return MakeError(ErrorKind::MethodNotAllowed, "a queue allows only GET");
    }
    request.m_verb = CallerVerb::CountPending;
    return request;
  }
  const auto job = DecodeJobId(rest);
  if (!job) return job.error();
  request.m_job = job.value();
  if (aCall.m_method == "POST") {
    return DecodeSubmission(aCall, *queue, std::move(request));
  }
  if (aCall.m_method == "GET") {
    request.m_verb = CallerVerb::LookUp;
    return request;
  }
  if (aCall.m_method == "DELETE") {
    request.m_verb = CallerVerb::Cancel;
    return request;
  }
  return MakeError(ErrorKind::MethodNotAllowed,
                   "a job allows only POST, GET and DELETE");
}

HttpReply AcceptedReply() {
  HttpReply reply;
  reply.m_body = "{}";
  return reply;
}

HttpReply StateReply(sched::JobState aState) {
  constexpr std::string_view kNames[] = {"queued", "running", "completed",
                                         "failed", "canceled"};
  HttpReply reply;
  reply.m_body =
      fmt::format(R"({{"state":"{}"}})", kNames[static_cast<size_t>(aState)]);
  return reply;
}

HttpReply PendingReply(uint64_t aCount) {
  HttpReply reply;
  reply.m_body = fmt::format(R"({{"pending":{}}})", aCount);
  return reply;
}

namespace {

/** HTTP statuses as the platform's API documents them for each error. */
int StatusOf(ErrorKind aKind) {
  switch (aKind) {
    case ErrorKind::BadRequest:
    case ErrorKind::BadJob:
      return 400;
    case ErrorKind::UnknownRoute:
      return 404;
    case ErrorKind::MethodNotAllowed:
      return 405;
    case ErrorKind::UnknownJob:
      return 410;
    case ErrorKind::QueueFull:
      return 429;
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::Timeout:
      return 504;
    case ErrorKind::ConnectionFailed:
    case ErrorKind::PeerMalformed:
      return 502;
    default:
      return 503;
  }
}

}  // namespace

HttpReply RefusalReply(const Error& aError, Duration aRetryAfter) {
  HttpReply reply;
  reply.m_status = StatusOf(aError.m_kind);
  // The text may quote the caller's input, so it has to be escaped.
  reply.m_body =
      boost::json::serialize(boost::json::object{{"error", aError.m_message}});
  if (reply.m_status == 503 || reply.m_status == 429) {
    const auto whole =
        std::chrono::ceil<seconds>(std::max(aRetryAfter, Duration(1))).count();
    reply.m_headers.emplace_back("Retry-After", std::to_string(whole));
  }
  return reply;
}

}  // namespace bronze
