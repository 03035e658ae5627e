/**
 * @file entry_calls.cpp Takes the calls of callers and of other daemons, and
 * answers them.
 */

#include <boost/asio/post.hpp>

#include "core/error/error_func.h"
#include "core/metrics/histogram_func.h"
#include "core/sched/cell_layout_func.h"
#include "core/sched/stored_size_func.h"
#include "net/address_func.h"
#include "scheduler/boot_clock.h"
#include "scheduler/entry_node.h"

namespace bronze {

namespace {

/** A call is failed this long before the caller's deadline, so that the error
 *  reaches the caller in time. */
constexpr Duration kAnswerMargin = milliseconds(150);
/** Routes that a call follows. A job moves at most four times. */
constexpr int kMaxHops = 6;
/** Sent to refused callers in Retry-After. A takeover of a cell takes a few
 *  seconds; most callers that retry after this time reach the new owner. */
constexpr Duration kRetryAfter = seconds(1);
/** What a call with a shorter body holds is part of its connection's room. */
constexpr size_t kReservedBodyBytes = 4096;

std::string_view VerbName(CallerVerb aVerb) {
  switch (aVerb) {
    case CallerVerb::Submit:
      return "submit";
    case CallerVerb::LookUp:
      return "lookup";
    case CallerVerb::Cancel:
      return "cancel";
    case CallerVerb::CountPending:
      return "pending";
  }
  return "lookup";
}

/** @return whether the call may hold the description of its job until it is
 *          answered. */
bool ReserveJob(const HttpCall& aCall, const sched::JobSpec& aSpec,
                HttpResponder& aResponder) {
  return aCall.m_body.size() < kReservedBodyBytes ||
         aResponder.Reserve(sched::MemoryBytes(aSpec));
}

HttpReply ReplyOf(const PeerAnswer& aAnswer) {
  HttpReply reply;
  reply.m_contentType = "application/cbor";
  reply.m_body = EncodePeerAnswer(aAnswer);
  return reply;
}

Error NoMemoryError() {
  return MakeError(ErrorKind::Overloaded,
                   "the memory for calls in progress is used up");
}

}  // namespace

void EntryNode::HandleCaller(HttpCall aCall, SharedResponder aResponder) {
  const auto config = Config();
  auto request = DecodeCallerCall(aCall, *config);
  if (request && !ReserveJob(aCall, request.value().m_spec, *aResponder)) {
    // Counted without a line for each, as such calls come in crowds.
    aResponder->Reply(RefusalReply(NoMemoryError(), kRetryAfter));
    boost::asio::post(m_context, [this] { ++m_answers["refused_overloaded"]; });
    return;
  }
  if (!request) {
    aResponder->Reply(RefusalReply(request.error(), kRetryAfter));
    boost::asio::post(
        m_context, [this, error = request.error(), target = aCall.m_target] {
          ++m_answers["refused_" + std::string(AnswerFor(error.m_kind).m_name)];
          m_log.Write("[callers]", "request refused target={} error={}", target,
                      error.m_message);
        });
    return;
  }
  boost::asio::post(m_context, [this, request = std::move(request.value()),
                                responder = std::move(aResponder)]() mutable {
    Serve(std::move(request), responder);
  });
}

void EntryNode::Serve(CallerRequest aRequest,
                      const SharedResponder& aResponder) {
  PeerCall call;
  call.m_verb = static_cast<PeerVerb>(aRequest.m_verb);
  call.m_queue = aRequest.m_queue;
  call.m_window = std::max(aRequest.m_window - kAnswerMargin, kAnswerMargin);
  call.m_job = aRequest.m_job;
  call.m_spec = std::move(aRequest.m_spec);
  ++m_openRequests;
  ServeCall(std::move(call),
            [this, request = std::move(aRequest), responder = aResponder,
             begunAt = BootNow()](PeerAnswer aAnswer) {
              --m_openRequests;
              AnswerCaller(request, aAnswer, responder, begunAt);
            });
}

void EntryNode::ServeCall(PeerCall aCall, AnswerHandler aHandler) {
  if (m_layout.m_cells == 0) {
    PeerAnswer answer;
    answer.m_error =
        MakeError(ErrorKind::NotReady, "the cells are not known yet");
    aHandler(std::move(answer));
    return;
  }
  if (aCall.m_verb == PeerVerb::CountPending) {
    CountPending(aCall, aHandler);
    return;
  }
  const auto route = m_knownRoutes.find(aCall.m_job);
  aCall.m_routed = route != m_knownRoutes.end();
  aCall.m_cell =
      aCall.m_routed ? route->second : sched::HomeCell(m_layout, aCall.m_job);
  CallOwner(std::move(aCall), kMaxHops, std::move(aHandler));
}

void EntryNode::AnswerCaller(const CallerRequest& aRequest,
                             const PeerAnswer& aAnswer,
                             const SharedResponder& aResponder,
                             TimePoint aBegunAt) {
  Record(m_answerTimes, BootNow() - aBegunAt);
  const std::string_view verb = VerbName(aRequest.m_verb);
  if (aAnswer.m_error) {
    const auto name = AnswerFor(aAnswer.m_error->m_kind).m_name;
    ++m_answers[fmt::format("{}_{}", verb, name)];
    m_log.Write("[callers]", "{} job={:016x} queue={} error={} text={}", verb,
                aRequest.m_job.Value(), aRequest.m_queue.Value(), name,
                aAnswer.m_error->m_message);
    aResponder->Reply(
        RefusalReply(*aAnswer.m_error, aAnswer.m_retryAfter > Duration::zero()
                                           ? aAnswer.m_retryAfter
                                           : Duration(kRetryAfter)));
    m_log.Flush();
    return;
  }
  ++m_answers[fmt::format("{}_ok", verb)];
  switch (aRequest.m_verb) {
    case CallerVerb::Submit:
      m_log.Write("[callers]", "accepted job={:016x} queue={}",
                  aRequest.m_job.Value(), aRequest.m_queue.Value());
      aResponder->Reply(AcceptedReply());
      break;
    case CallerVerb::Cancel:
      aResponder->Reply(AcceptedReply());
      break;
    case CallerVerb::LookUp:
      aResponder->Reply(StateReply(aAnswer.m_state));
      break;
    case CallerVerb::CountPending:
      aResponder->Reply(PendingReply(aAnswer.m_count));
      break;
  }
}

void EntryNode::HandlePeer(HttpCall aCall, SharedResponder aResponder) {
  auto call = DecodePeerCall(aCall.m_body);
  if (!call || aCall.m_target != kPeerPath) {
    aResponder->Reply(
        RefusalReply(MakeError(ErrorKind::BadRequest, "not a valid peer call"),
                     kRetryAfter));
    return;
  }
  if (!ReserveJob(aCall, call.value().m_spec, *aResponder)) {
    PeerAnswer answer;
    answer.m_error = NoMemoryError();
    aResponder->Reply(ReplyOf(answer));
    return;
  }
  boost::asio::post(m_context, [this, call = std::move(call.value()),
                                responder = std::move(aResponder)]() mutable {
    const auto answerer = [responder](const PeerAnswer& aAnswer) {
      responder->Reply(ReplyOf(aAnswer));
    };
    const uint32_t cell = call.m_cell.Value();
    const auto owner =
        cell < m_elections.size() ? m_elections[cell]->LocalOwner() : nullptr;
    if (!owner) {
      PeerAnswer answer;
      answer.m_error =
          MakeError(ErrorKind::NotOwner, "this daemon does not own the cell");
      answer.m_handedOver =
          cell < m_elections.size() && m_elections[cell]->IsHandedOver();
      answerer(answer);
      return;
    }
    owner->Handle(std::move(call), answerer);
  });
}

}  // namespace bronze
