/**
 * @file cell_owner_handover.cpp Hands a cell over to a larger VM that asks for
 * it.
 *
 * The release is that of a process that ends, and the owner row names the
 * successor. Until the transaction of the release is sent, this owner may go on
 * instead.
 */

#include "core/sched/claim_func.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

/** Changes that must be stored before the release take a few commits. While
 *  they do, nothing is placed and calls wait. */
constexpr Duration kMaxHandoverTime = milliseconds(1500);
/** A VM that has asked within this time is known to reach the store. */
constexpr Duration kAskerAge = seconds(10);

int64_t ToMillis(Duration aTime) {
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

}  // namespace

sched::HandoverView CellOwner::ViewForHandover(TimePoint aNow) const {
  sched::HandoverView view;
  view.m_own = m_ownerRow.m_capability;
  if (IsScheduling()) view.m_schedulingSince = m_schedulingSince;
  view.m_isReleasing = static_cast<bool>(m_onReleased);
  view.m_wasHandedOver = m_previousRow.m_successor == m_vm;
  view.m_storeResponds = HasAuthority(aNow) &&
                         m_commitFailure == sched::CommitFailure::None &&
                         aNow - m_lastCommitSentAt < kMaxCommitAge;
  view.m_lostBy = VmId(m_previousRow.m_vm);
  view.m_lostByIncarnation = Incarnation(m_previousRow.m_incarnation);
  return view;
}

void CellOwner::NoteAsker(const sched::HandoverRequest& aRequest) {
  const TimePoint now = BootNow();
  const sched::VmCapability largest =
      sched::LargerOf(RecentAsker(now), aRequest.m_capability);
  if (largest == aRequest.m_capability) m_asker = {largest, now};
}

sched::VmCapability CellOwner::RecentAsker(TimePoint aNow) const {
  const bool isRecent = m_asker && aNow - m_asker->m_askedAt < kAskerAge;
  return isRecent ? m_asker->m_capability : sched::VmCapability();
}

void CellOwner::HandleRequest(const PeerCall& aCall, AnswerHandler aHandler) {
  const TimePoint now = BootNow();
  const sched::HandoverRequest& request = aCall.m_handover;
  const sched::HandoverAnswer decided =
      sched::DecideHandover(ViewForHandover(now), request, now);
  const std::string_view name = sched::NameOf(decided);
  NoteAsker(request);
  m_log.Write("[cell]",
              "handover requested cell={} by={} cpu={} link={} own_cpu={} "
              "own_link={} term_ms={} answer={}",
              m_cellId.Value(), request.m_vm.Value(),
              request.m_capability.m_cpu.Value(),
              request.m_capability.m_link.Value(),
              m_ownerRow.m_capability.m_cpu.Value(),
              m_ownerRow.m_capability.m_link.Value(),
              m_loaded ? ToMillis(now - m_schedulingSince) : 0, name);
  if (decided != sched::HandoverAnswer::Accepted) {
    PeerAnswer answer;
    answer.m_error = MakeError(ErrorKind::NotReady, std::string(name));
    aHandler(std::move(answer));
    return;
  }
  m_handover = Handover{request.m_vm.Value(), request.m_capability, now,
                        std::move(aHandler)};
  Release([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->m_handover) return;
    self->EndHandover("done");
    self->m_onLost();
  });
}

void CellOwner::CheckHandover(TimePoint aNow) {
  if (!m_handover || aNow - m_handover->m_begunAt < kMaxHandoverTime) return;
  WithdrawHandover("the changes before the release were not stored in time");
}

void CellOwner::WithdrawHandover(std::string_view aReason) {
  if (!m_handover || !m_handover->m_mayWithdraw || m_releaseSent) return;
  m_log.Write("[cell]", "handover withdrawn cell={} to={} by={}",
              m_cellId.Value(), m_handover->m_to, aReason);
  m_onReleased = nullptr;
  EndHandover("withdrawn");
  RequestPass();
}

void CellOwner::EndHandover(std::string_view aResult) {
  Handover handover = std::move(*m_handover);
  m_handover.reset();
  ++m_links.m_counts.m_handovers[std::string(aResult)];
  m_log.Write("[cell]",
              "handover ended cell={} from={} to={} from_cpu={} to_cpu={} "
              "result={} took_ms={}",
              m_cellId.Value(), m_vm, handover.m_to,
              m_ownerRow.m_capability.m_cpu.Value(),
              handover.m_capability.m_cpu.Value(), aResult,
              ToMillis(BootNow() - handover.m_begunAt));
  PeerAnswer answer;
  if (aResult != "done") {
    answer.m_error = MakeError(ErrorKind::NotReady, std::string(aResult));
  }
  handover.m_handler(std::move(answer));
}

}  // namespace bronze
