/**
 * @file entry_calls.cpp Passes the requests of callers to the owners of cells,
 * along the routes of jobs, and answers them.
 */

#include <boost/asio/post.hpp>

#include "core/error/error_func.h"
#include "core/metrics/histogram_func.h"
#include "core/sched/cell_layout_func.h"
#include "core/sched/stored_size_func.h"
#include "net/address_func.h"
#include "scheduler/boot_clock.h"
#include "scheduler/entry_node.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

/** A call is failed this long before the caller's deadline, so that the error
 *  reaches the caller in time. */
constexpr Duration kAnswerMargin = milliseconds(150);
/** Pause before a call goes to another owner than the one that refused it; the
 *  directory is read again meanwhile. */
constexpr Duration kRetryPause = milliseconds(130);
/** A call to an owner that gets no answer within this time is repeated once on
 * a new connection, and at its successor as soon as there is one. The first
 *  answer may still come: an owner answers late while the store is slow. */
constexpr Duration kAttemptTimeout = milliseconds(1300);
/** A shorter rest of the caller's window is not worth another attempt. */
constexpr Duration kMinAttempt = milliseconds(150);
/** Routes that a call follows. A job moves at most four times. */
constexpr int kMaxHops = 6;
/** Known routes are forgotten beyond this number; they save one hop each. */
constexpr size_t kMaxKnownRoutes = 20000;
/** Sent to refused callers in Retry-After. A takeover of a cell takes a few
 *  seconds; most callers that retry after this time reach the new owner. */
constexpr Duration kRetryAfter = seconds(1);
constexpr char kPeerPath[] = "/peer/call";
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

HttpCall PeerHttpCall(const PeerCall& aCall) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = kPeerPath;
  call.m_headers = {{"Content-Type", "application/cbor"}};
  call.m_body = EncodePeerCall(aCall);
  return call;
}

PeerAnswer AnswerOf(const CallOutcome& aOutcome) {
  PeerAnswer answer;
  if (aOutcome.m_stage == CallStage::NotConnected) {
    // Nothing was sent, so nothing was accepted.
    answer.m_error = MakeError(ErrorKind::NotReady,
                               "cannot connect to the owner of the cell");
    return answer;
  }
  if (aOutcome.m_stage != CallStage::CompleteReply) {
    answer.m_error = MakeError(ErrorKind::OutcomeUnknown,
                               "the owner of the cell did not answer");
    return answer;
  }
  auto decoded = DecodePeerAnswer(aOutcome.m_reply.m_body);
  if (decoded) return std::move(decoded.value());
  answer.m_error =
      MakeError(ErrorKind::OutcomeUnknown, decoded.error().m_message);
  return answer;
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
  Attempt({std::move(aCall), {}, kMaxHops, std::move(aHandler)});
}

void EntryNode::CallOwner(PeerCall aCall, AnswerHandler aHandler) {
  Attempt({std::move(aCall), {}, {}, std::move(aHandler)});
}

void EntryNode::Attempt(OwnerCall aCall) {
  const CellId cell = aCall.m_call.m_cell;
  const TimePoint begunAt = BootNow();
  if (const auto owner = m_elections[cell.Value()]->LocalOwner()) {
    PeerCall sent = aCall.m_call;
    owner->Handle(std::move(sent), [this, call = std::move(aCall),
                                    begunAt](PeerAnswer aAnswer) mutable {
      call.m_call.m_window -= BootNow() - begunAt;
      // This owner cannot accept the call now and is still the owner.
      const bool refuses = aAnswer.m_error && !call.m_fate.m_mayBeDone &&
                           aAnswer.m_error->m_kind == ErrorKind::NotReady;
      if (refuses) {
        Finish(call, std::move(aAnswer));
        return;
      }
      const std::string tried = AddressText(m_config.m_peerAddress);
      OnAttempt(std::move(call), tried, std::move(aAnswer));
    });
    return;
  }
  const auto address = m_directory.AddressOf(cell);
  if (!address || *address == AddressText(m_config.m_peerAddress)) {
    m_directory.Refresh();
    PeerAnswer answer;
    answer.m_error =
        MakeError(ErrorKind::NotReady, "no owner of the cell is known");
    if (aCall.m_fate.m_mayBeDone || IsHandedOver(cell)) {
      RetryLater(std::move(aCall), "", std::move(answer));
    } else {
      Finish(aCall, std::move(answer));
    }
    return;
  }
  const auto attempt = std::make_shared<RemoteAttempt>(
      m_context, std::move(aCall), *address, begunAt);
  Forward(*address, attempt->m_call.m_call,
          [this, attempt](PeerAnswer aAnswer) mutable {
            EndAttempt(*attempt, std::move(aAnswer));
          });
  AwaitSuccessor(attempt, kAttemptTimeout);
}

void EntryNode::EndAttempt(RemoteAttempt& aAttempt, PeerAnswer aAnswer) {
  if (aAttempt.m_ended) return;
  aAttempt.m_ended = true;
  aAttempt.m_timer.cancel();
  aAttempt.m_call.m_call.m_window -= BootNow() - aAttempt.m_begunAt;
  OnAttempt(std::move(aAttempt.m_call), aAttempt.m_address, std::move(aAnswer));
}

void EntryNode::AwaitSuccessor(const std::shared_ptr<RemoteAttempt>& aAttempt,
                               Duration aPause) {
  const bool isFirst = aPause == kAttemptTimeout;
  aAttempt->m_timer.expires_after(aPause);
  aAttempt->m_timer.async_wait(
      [this, attempt = aAttempt, isFirst](boost::system::error_code aError) {
        if (aError || attempt->m_ended) return;
        if (HasOtherOwner(attempt->m_call.m_call.m_cell, attempt->m_address)) {
          PeerAnswer answer;
          answer.m_error = MakeError(ErrorKind::OutcomeUnknown,
                                     "the owner of the cell did not answer");
          EndAttempt(*attempt, std::move(answer));
          return;
        }
        if (isFirst) RepeatAttempt(attempt);
        m_directory.Refresh();
        AwaitSuccessor(attempt, kRetryPause);
      });
}

void EntryNode::RepeatAttempt(const std::shared_ptr<RemoteAttempt>& aAttempt) {
  PeerCall again = aAttempt->m_call.m_call;
  // An owner that is handing the cell over would decline a second request.
  if (again.m_verb == PeerVerb::HandOver) return;
  const auto address = ParseAddress(aAttempt->m_address);
  if (!address) return;
  again.m_window -= BootNow() - aAttempt->m_begunAt;
  CallOptions options;
  options.m_newConnection = true;
  m_peers.Call(
      address.value(), PeerHttpCall(again), again.m_window,
      [this, attempt = aAttempt](const CallOutcome& aOutcome) {
        // The first call may still be answered, or carried out.
        const bool isWhole = aOutcome.m_stage == CallStage::CompleteReply;
        if (!isWhole || attempt->m_ended) return;
        if (ChangesJob(attempt->m_call.m_call.m_verb)) {
          sched::NoteFailedAttempt(
              attempt->m_call.m_fate,
              MakeError(ErrorKind::OutcomeUnknown, "no answer yet"));
        }
        EndAttempt(*attempt, AnswerOf(aOutcome));
      },
      options);
}

bool EntryNode::HasOtherOwner(CellId aCell, const std::string& aTried) const {
  const auto address = m_directory.AddressOf(aCell);
  return m_elections[aCell.Value()]->LocalOwner() ||
         (address && *address != aTried);
}

void EntryNode::OnAttempt(OwnerCall aCall, const std::string& aTried,
                          PeerAnswer aAnswer) {
  if (aAnswer.m_routedTo && aCall.m_hopsLeft) {
    FollowRoute(std::move(aCall), std::move(aAnswer));
    return;
  }
  if (aAnswer.m_error) {
    if (ChangesJob(aCall.m_call.m_verb)) {
      sched::NoteFailedAttempt(aCall.m_fate, *aAnswer.m_error);
    }
    if (MayRepeat(aCall, *aAnswer.m_error)) {
      RetryLater(std::move(aCall), aTried, std::move(aAnswer));
      return;
    }
  }
  Finish(aCall, std::move(aAnswer));
}

void EntryNode::FollowRoute(OwnerCall aCall, PeerAnswer aAnswer) {
  const CellId target = *aAnswer.m_routedTo;
  if (*aCall.m_hopsLeft == 0 || target.Value() >= m_layout.m_cells) {
    // Routes lead to it, so the job may well exist.
    aCall.m_fate.m_mayBeDone = ChangesJob(aCall.m_call.m_verb);
    aAnswer.m_error = MakeError(ErrorKind::NotReady, "the job is being moved");
    Finish(aCall, std::move(aAnswer));
    return;
  }
  if (m_knownRoutes.size() >= kMaxKnownRoutes) m_knownRoutes.clear();
  m_knownRoutes[aCall.m_call.m_job] = target;
  --*aCall.m_hopsLeft;
  aCall.m_call.m_cell = target;
  aCall.m_call.m_routed = true;
  aCall.m_call.m_window =
      std::max(aCall.m_call.m_window, Duration(kAnswerMargin));
  Attempt(std::move(aCall));
}

void EntryNode::Finish(const OwnerCall& aCall, PeerAnswer aAnswer) {
  if (aAnswer.m_error) {
    aAnswer.m_error =
        sched::FinalError(aCall.m_fate, std::move(*aAnswer.m_error));
  }
  aCall.m_handler(std::move(aAnswer));
}

bool EntryNode::IsHandedOver(CellId aCell) const {
  return m_directory.IsHandedOver(aCell) ||
         m_elections[aCell.Value()]->IsHandedOver();
}

bool EntryNode::ChangesJob(PeerVerb aVerb) {
  switch (aVerb) {
    case PeerVerb::Submit:
    case PeerVerb::Cancel:
    case PeerVerb::Adopt:
      return true;
    case PeerVerb::LookUp:
    case PeerVerb::CountPending:
    case PeerVerb::HandOver:
      return false;
  }
  return true;
}

bool EntryNode::MayRepeat(const OwnerCall& aCall, const Error& aError) {
  // The VM that asks decides whether and whom to ask again.
  if (aCall.m_call.m_verb == PeerVerb::HandOver) return false;
  const bool hasTime = aCall.m_call.m_window > kMinAttempt;
  switch (aError.m_kind) {
    case ErrorKind::NotOwner:
    case ErrorKind::NotReady:
      return true;
    case ErrorKind::StoreUnavailable:
      // Nothing was done by this attempt. Only an owner that reaches the store
      // can tell what became of the earlier ones.
      return aCall.m_fate.m_mayBeDone && hasTime;
    case ErrorKind::OutcomeUnknown:
      // A job that is submitted or cancelled again under its id is the same,
      // and what a former owner does after its successor's claim has no effect.
      return aCall.m_call.m_verb != PeerVerb::Adopt && hasTime;
    default:
      return false;
  }
}

void EntryNode::RetryLater(OwnerCall aCall, const std::string& aTried,
                           PeerAnswer aLast) {
  m_directory.Refresh();
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
  timer->expires_after(kRetryPause);
  timer->async_wait(
      [this, timer, call = std::move(aCall), tried = aTried,
       last = std::move(aLast)](boost::system::error_code) mutable {
        call.m_call.m_window -= kRetryPause;
        const CellId cell = call.m_call.m_cell;
        const auto address = m_directory.AddressOf(cell);
        const bool otherOwner = HasOtherOwner(cell, tried);
        const bool answers = last.m_error->m_kind != ErrorKind::OutcomeUnknown;
        const bool mustKnow = call.m_fate.m_mayBeDone || !answers;
        const bool hasTime = call.m_call.m_window > kMinAttempt;
        const bool hasSuccessor = (last.m_handedOver || IsHandedOver(cell)) &&
                                  call.m_handoverWait < kMaxSuccessionTime;
        if (hasSuccessor) call.m_handoverWait += kRetryPause;
        const bool again = answers && (mustKnow || hasSuccessor) && hasTime;
        if (otherOwner || (address && again)) {
          Attempt(std::move(call));
        } else if ((mustKnow || hasSuccessor) && hasTime) {
          RetryLater(std::move(call), tried, std::move(last));
        } else {
          Finish(call, std::move(last));
        }
      });
}

void EntryNode::Forward(const std::string& aAddress, PeerCall aCall,
                        AnswerHandler aHandler) {
  const auto address = ParseAddress(aAddress);
  if (!address) {
    PeerAnswer answer;
    answer.m_error = address.error();
    aHandler(std::move(answer));
    return;
  }
  m_peers.Call(address.value(), PeerHttpCall(aCall), aCall.m_window,
               [handler = std::move(aHandler)](const CallOutcome& aOutcome) {
                 handler(AnswerOf(aOutcome));
               });
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
