/**
 * @file entry_attempts.cpp Passes calls to the owners of cells, along the
 * routes of jobs.
 *
 * A call may take several attempts, and an attempt on another VM two copies of
 * the call. All copies go out through SendCopy or CallLocalOwner, which note
 * them in the call's fate before anything is sent; what the caller is told
 * follows from that (call_fate_func.h).
 */

#include <boost/asio/post.hpp>

#include "net/address_func.h"
#include "scheduler/boot_clock.h"
#include "scheduler/entry_node.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

/** Pause before a call goes to another owner than the one that refused it; the
 *  directory is read again meanwhile. */
constexpr Duration kRetryPause = milliseconds(130);
/** A call to an owner that gets no answer within this time is repeated once on
 * a new connection, and at its successor as soon as there is one. The first
 *  answer may still come: an owner answers late while the store is slow. */
constexpr Duration kAttemptTimeout = milliseconds(1300);
/** A shorter rest of the caller's window is not worth another attempt. */
constexpr Duration kMinAttempt = milliseconds(150);
/** A route is followed for at least this time. */
constexpr Duration kMinHopTime = milliseconds(150);
/** Copies time out at the call's deadline. Those that end then are noted before
 *  the call is answered. */
constexpr Duration kLastEndsTime = milliseconds(5);
/** Known routes are forgotten beyond this number; they save one hop each. */
constexpr size_t kMaxKnownRoutes = 20000;

HttpCall PeerHttpCall(const PeerCall& aCall) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = kPeerPath;
  call.m_headers = {{"Content-Type", "application/cbor"}};
  call.m_body = EncodePeerCall(aCall);
  return call;
}

PeerAnswer ErrorAnswerOf(ErrorKind aKind, std::string aMessage) {
  PeerAnswer answer;
  answer.m_error = MakeError(aKind, std::move(aMessage));
  return answer;
}

PeerAnswer NoAnswer() {
  return ErrorAnswerOf(ErrorKind::OutcomeUnknown,
                       "the owner of the cell did not answer");
}

PeerAnswer AnswerOf(const CallOutcome& aOutcome) {
  if (aOutcome.m_stage == CallStage::NotConnected) {
    return ErrorAnswerOf(ErrorKind::NotReady,
                         "cannot connect to the owner of the cell");
  }
  if (aOutcome.m_stage != CallStage::CompleteReply) return NoAnswer();
  auto decoded = DecodePeerAnswer(aOutcome.m_reply.m_body);
  if (decoded) return std::move(decoded.value());
  return ErrorAnswerOf(ErrorKind::OutcomeUnknown, decoded.error().m_message);
}

sched::CopyState StateOf(const PeerAnswer& aAnswer) {
  // A route says that nothing was done with the job itself.
  return aAnswer.m_routedTo ? sched::CopyState::Declined
                            : sched::StateOfAnswered(aAnswer.m_error);
}

sched::CopyState StateOf(const CallOutcome& aOutcome,
                         const PeerAnswer& aAnswer) {
  return aOutcome.m_stage == CallStage::NotConnected ? sched::CopyState::NotSent
                                                     : StateOf(aAnswer);
}

}  // namespace

EntryNode::OwnerCall::OwnerCall(boost::asio::io_context& aContext,
                                PeerCall aCall, std::optional<int> aHops,
                                AnswerHandler aHandler)
    : m_call(std::move(aCall)),
      m_deadline(BootNow() + m_call.m_window),
      m_hopsLeft(aHops),
      m_handler(std::move(aHandler)),
      m_deadlineTimer(aContext) {
  m_fate.m_changesJob = ChangesJob(m_call.m_verb);
}

void EntryNode::CallOwner(PeerCall aCall, std::optional<int> aHops,
                          AnswerHandler aHandler) {
  const auto call = std::make_shared<OwnerCall>(m_context, std::move(aCall),
                                                aHops, std::move(aHandler));
  AwaitDeadline(call);
  Attempt(call);
}

void EntryNode::AwaitDeadline(const SharedCall& aCall) {
  aCall->m_deadlineTimer.expires_after(aCall->m_deadline - BootNow() +
                                       kLastEndsTime);
  aCall->m_deadlineTimer.async_wait(
      [this, call = aCall](boost::system::error_code aError) {
        if (aError) return;
        // The copies that have timed out end before what is posted now.
        boost::asio::post(m_context, [call] {
          Report(*call, call->m_lastAnswer ? std::move(*call->m_lastAnswer)
                                           : NoAnswer());
        });
      });
}

void EntryNode::Attempt(const SharedCall& aCall) {
  const CellId cell = aCall->m_call.m_cell;
  if (const auto owner = m_elections[cell.Value()]->LocalOwner()) {
    CallLocalOwner(aCall, *owner);
    return;
  }
  const auto owner = m_directory.AddressOf(cell);
  const auto address =
      owner ? ParseAddress(*owner) : MakeError(ErrorKind::NotReady, "no owner");
  if (!address || *owner == AddressText(m_config.m_peerAddress)) {
    m_directory.Refresh();
    PeerAnswer answer =
        ErrorAnswerOf(ErrorKind::NotReady, "no owner of the cell is known");
    if (sched::MayBeDone(aCall->m_fate) || IsHandedOver(cell)) {
      RetryLater(aCall, "", std::move(answer));
    } else {
      Finish(*aCall, std::move(answer));
    }
    return;
  }
  const auto attempt = std::make_shared<RemoteAttempt>(m_context, aCall, *owner,
                                                       address.value());
  SendCopy(attempt, false);
  AwaitSuccessor(attempt, kAttemptTimeout);
}

void EntryNode::CallLocalOwner(const SharedCall& aCall, CellOwner& aOwner) {
  const sched::CopyNumber copy = sched::BeginCopy(aCall->m_fate);
  PeerCall sent = aCall->m_call;
  sent.m_window = aCall->m_deadline - BootNow();
  aOwner.Handle(std::move(sent), [this, call = aCall,
                                  copy](PeerAnswer aAnswer) {
    sched::EndCopy(call->m_fate, copy, StateOf(aAnswer));
    // This owner cannot accept the call now and is still the owner.
    const bool refuses = aAnswer.m_error && !sched::MayBeDone(call->m_fate) &&
                         aAnswer.m_error->m_kind == ErrorKind::NotReady;
    if (refuses) {
      Finish(*call, std::move(aAnswer));
      return;
    }
    OnAttempt(call, AddressText(m_config.m_peerAddress), std::move(aAnswer));
  });
}

void EntryNode::SendCopy(const std::shared_ptr<RemoteAttempt>& aAttempt,
                         bool aOnNewConnection) {
  const SharedCall& call = aAttempt->m_call;
  const sched::CopyNumber copy = sched::BeginCopy(call->m_fate);
  ++aAttempt->m_openCopies;
  PeerCall sent = call->m_call;
  sent.m_window = call->m_deadline - BootNow();
  CallOptions options;
  options.m_newConnection = aOnNewConnection;
  // A copy that waits for a connection is not sent for a caller that has its
  // answer.
  options.m_mayBegin = [call] {
    return call->m_handler && BootNow() < call->m_deadline;
  };
  m_peers.Call(
      aAttempt->m_address, PeerHttpCall(sent), sent.m_window,
      [this, attempt = aAttempt, copy](const CallOutcome& aOutcome) {
        OnCopyEnd(*attempt, copy, aOutcome);
      },
      std::move(options));
}

void EntryNode::OnCopyEnd(RemoteAttempt& aAttempt, sched::CopyNumber aCopy,
                          const CallOutcome& aOutcome) {
  OwnerCall& call = *aAttempt.m_call;
  PeerAnswer answer = AnswerOf(aOutcome);
  const sched::CopyState state = StateOf(aOutcome, answer);
  sched::EndCopy(call.m_fate, aCopy, state);
  --aAttempt.m_openCopies;
  if (!aAttempt.m_ended) {
    const bool isAnswered = aOutcome.m_stage == CallStage::CompleteReply;
    // The other copy may still be answered.
    if (!isAnswered && aAttempt.m_openCopies > 0) return;
    EndAttempt(aAttempt, std::move(answer));
    return;
  }
  if (state == sched::CopyState::Done) {
    Report(call, std::move(answer));
  } else if (call.m_lastAnswer) {
    PeerAnswer last = *call.m_lastAnswer;
    Finish(call, std::move(last));
  }
}

void EntryNode::EndAttempt(RemoteAttempt& aAttempt, PeerAnswer aAnswer) {
  if (aAttempt.m_ended) return;
  aAttempt.m_ended = true;
  aAttempt.m_timer.cancel();
  OnAttempt(aAttempt.m_call, aAttempt.m_owner, std::move(aAnswer));
}

void EntryNode::AwaitSuccessor(const std::shared_ptr<RemoteAttempt>& aAttempt,
                               Duration aPause) {
  const bool isFirst = aPause == kAttemptTimeout;
  aAttempt->m_timer.expires_after(aPause);
  aAttempt->m_timer.async_wait(
      [this, attempt = aAttempt, isFirst](boost::system::error_code aError) {
        if (aError || attempt->m_ended || !attempt->m_call->m_handler) return;
        if (HasOtherOwner(attempt->m_call->m_call.m_cell, attempt->m_owner)) {
          EndAttempt(*attempt, NoAnswer());
          return;
        }
        if (isFirst) RepeatAttempt(attempt);
        m_directory.Refresh();
        AwaitSuccessor(attempt, kRetryPause);
      });
}

void EntryNode::RepeatAttempt(const std::shared_ptr<RemoteAttempt>& aAttempt) {
  // An owner that is handing the cell over would decline a second request.
  if (aAttempt->m_call->m_call.m_verb == PeerVerb::HandOver) return;
  m_log.Write("[callers]", "sending again job={:016x} cell={} owner={}",
              aAttempt->m_call->m_call.m_job.Value(),
              aAttempt->m_call->m_call.m_cell.Value(), aAttempt->m_owner);
  SendCopy(aAttempt, true);
}

bool EntryNode::HasOtherOwner(CellId aCell, const std::string& aTried) const {
  const auto address = m_directory.AddressOf(aCell);
  return m_elections[aCell.Value()]->LocalOwner() ||
         (address && *address != aTried);
}

void EntryNode::OnAttempt(const SharedCall& aCall, const std::string& aTried,
                          PeerAnswer aAnswer) {
  if (!aCall->m_handler) return;
  if (aAnswer.m_routedTo && aCall->m_hopsLeft) {
    FollowRoute(aCall, std::move(aAnswer));
  } else if (aAnswer.m_error && MayRepeat(*aCall, *aAnswer.m_error)) {
    RetryLater(aCall, aTried, std::move(aAnswer));
  } else {
    Finish(*aCall, std::move(aAnswer));
  }
}

void EntryNode::FollowRoute(const SharedCall& aCall, PeerAnswer aAnswer) {
  const CellId target = *aAnswer.m_routedTo;
  if (*aCall->m_hopsLeft == 0 || target.Value() >= m_layout.m_cells) {
    // Routes lead to it, so the job may well exist.
    aAnswer.m_error =
        MakeError(aCall->m_fate.m_changesJob ? ErrorKind::OutcomeUnknown
                                             : ErrorKind::NotReady,
                  "the job is being moved");
    Finish(*aCall, std::move(aAnswer));
    return;
  }
  if (m_knownRoutes.size() >= kMaxKnownRoutes) m_knownRoutes.clear();
  m_knownRoutes[aCall->m_call.m_job] = target;
  --*aCall->m_hopsLeft;
  aCall->m_call.m_cell = target;
  aCall->m_call.m_routed = true;
  const TimePoint earliestEnd = BootNow() + kMinHopTime;
  if (aCall->m_deadline < earliestEnd) {
    aCall->m_deadline = earliestEnd;
    AwaitDeadline(aCall);
  }
  Attempt(aCall);
}

void EntryNode::Finish(OwnerCall& aCall, PeerAnswer aAnswer) {
  if (aAnswer.m_error && !sched::IsSettled(aCall.m_fate, *aAnswer.m_error)) {
    aCall.m_lastAnswer = std::move(aAnswer);
    return;
  }
  Report(aCall, std::move(aAnswer));
}

void EntryNode::Report(OwnerCall& aCall, PeerAnswer aAnswer) {
  if (!aCall.m_handler) return;
  aCall.m_deadlineTimer.cancel();
  if (aAnswer.m_error) {
    aAnswer.m_error =
        sched::FinalError(aCall.m_fate, std::move(*aAnswer.m_error));
    if (aCall.m_fate.m_changesJob) {
      aAnswer.m_error->m_message +=
          " (copies: " + sched::CopiesText(aCall.m_fate) + ")";
    }
  }
  const AnswerHandler handler = std::exchange(aCall.m_handler, nullptr);
  handler(std::move(aAnswer));
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
  if (aCall.m_deadline - BootNow() <= kMinAttempt) return false;
  switch (aError.m_kind) {
    case ErrorKind::NotOwner:
    case ErrorKind::NotReady:
      return true;
    case ErrorKind::StoreUnavailable:
      // Nothing was done by this attempt. Only an owner that reaches the store
      // can tell what became of the earlier ones.
      return sched::MayBeDone(aCall.m_fate);
    case ErrorKind::OutcomeUnknown:
      // A job that is submitted or cancelled again under its id is the same,
      // and what a former owner does after its successor's claim has no effect.
      return aCall.m_call.m_verb != PeerVerb::Adopt;
    default:
      return false;
  }
}

void EntryNode::RetryLater(const SharedCall& aCall, const std::string& aTried,
                           PeerAnswer aLast) {
  m_directory.Refresh();
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
  timer->expires_after(kRetryPause);
  timer->async_wait(
      [this, timer, call = aCall, tried = aTried,
       last = std::move(aLast)](boost::system::error_code) mutable {
        if (!call->m_handler) return;
        const CellId cell = call->m_call.m_cell;
        const auto address = m_directory.AddressOf(cell);
        const bool otherOwner = HasOtherOwner(cell, tried);
        const bool answers = last.m_error->m_kind != ErrorKind::OutcomeUnknown;
        const bool mustKnow = sched::MayBeDone(call->m_fate) || !answers;
        const bool hasTime = call->m_deadline - BootNow() > kMinAttempt;
        const bool hasSuccessor = (last.m_handedOver || IsHandedOver(cell)) &&
                                  call->m_handoverWait < kMaxSuccessionTime;
        if (hasSuccessor) call->m_handoverWait += kRetryPause;
        const bool again = answers && (mustKnow || hasSuccessor);
        if (hasTime && (otherOwner || (address && again))) {
          Attempt(call);
        } else if (hasTime && (mustKnow || hasSuccessor)) {
          RetryLater(call, tried, std::move(last));
        } else {
          Finish(*call, std::move(last));
        }
      });
}

}  // namespace bronze
