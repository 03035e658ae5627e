/**
 * @file cell_owner_calls.cpp Answers calls about jobs of a cell.
 */

#include <algorithm>

#include "core/sched/job_cmd.h"
#include "core/sched/move_cmd.h"
#include "core/sched/route_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"

namespace bronze {

namespace {

/** Above this delay of the control loop, new jobs are refused: they would take
 *  time from work that was accepted. */
constexpr Duration kMaxLagForNewJobs = milliseconds(600);
/** A new job is refused if the commits before its own are expected to take more
 *  than this share of the caller's window. */
constexpr int64_t kCommitShareOfWindow = 2;
constexpr Duration kAdoptWindow = seconds(2);
/** Changed jobs that fit into one commit, at two rows each. */
constexpr int64_t kJobsPerCommit = 45;

}  // namespace

void CellOwner::Handle(PeerCall aCall, AnswerHandler aHandler) {
  PeerAnswer answer;
  if (aCall.m_verb == PeerVerb::HandOver) {
    HandleRequest(aCall, std::move(aHandler));
    return;
  }
  if (!IsScheduling() || m_onReleased) {
    answer.m_error = MakeError(ErrorKind::NotOwner,
                               "the cell is being loaded or handed over");
    answer.m_handedOver = m_handover.has_value();
    aHandler(std::move(answer));
    return;
  }
  if (HandleRouted(aCall, aHandler)) return;
  const TimePoint now = BootNow();
  switch (aCall.m_verb) {
    case PeerVerb::Submit:
      Submit(std::move(aCall), std::move(aHandler));
      return;
    case PeerVerb::Cancel: {
      auto when = sched::CancelJob(m_cell, aCall.m_job, now);
      if (when) {
        m_log.Write("[cell]", "cancel job={:016x}", aCall.m_job.Value());
        WaitFor(when.value(), aCall, std::move(aHandler));
        RequestPass();
        return;
      }
      // Another daemon may own the cell by now and may have accepted a job that
      // is missing here.
      answer.m_error = HasAuthority(now)
                           ? when.error()
                           : MakeError(ErrorKind::StoreUnavailable,
                                       "the store is not available");
      break;
    }
    case PeerVerb::LookUp: {
      const auto state = sched::LookUpJob(m_cell, aCall.m_job);
      if (state) {
        answer.m_state = state.value();
      } else if (HasAuthority(now)) {
        answer.m_error = state.error();
      } else {
        answer.m_error = MakeError(ErrorKind::StoreUnavailable,
                                   "the store is not available");
      }
      break;
    }
    case PeerVerb::Adopt:
      Adopt(std::move(aCall), std::move(aHandler));
      return;
    case PeerVerb::HandOver:
      return;
    case PeerVerb::CountPending:
      // Without authority there may be another owner, whose jobs are missing.
      if (HasAuthority(now)) {
        answer.m_count = sched::PendingJobs(m_cell, aCall.m_queue);
      } else {
        answer.m_error = MakeError(ErrorKind::StoreUnavailable,
                                   "the store is not available");
      }
      break;
  }
  aHandler(std::move(answer));
}

std::optional<Error> CellOwner::RefuseNewJob(const PeerCall& aCall,
                                             TimePoint aNow) const {
  if (!HasAuthority(aNow) || m_lastCommitTryFailed) {
    return MakeError(ErrorKind::StoreUnavailable, "the store is not available");
  }
  if (m_loopLag > kMaxLagForNewJobs) {
    return MakeError(ErrorKind::NotReady,
                     "the owner of the cell is behind with its work");
  }
  const auto queued = static_cast<int64_t>(m_cell.m_dirty.size());
  const Duration wait = m_meanCommitTime * (1 + queued / kJobsPerCommit);
  if (wait > aCall.m_window / kCommitShareOfWindow) {
    return MakeError(ErrorKind::NotReady,
                     "the job cannot be stored before the caller's deadline");
  }
  return {};
}

bool CellOwner::HandleRouted(const PeerCall& aCall, AnswerHandler& aHandler) {
  if (aCall.m_verb == PeerVerb::CountPending ||
      aCall.m_verb == PeerVerb::Adopt) {
    return false;
  }
  const auto known = m_cell.m_jobs.find(aCall.m_job);
  if (known != m_cell.m_jobs.end()) {
    // The other cell may have the job already.
    const bool cancelsMoving =
        aCall.m_verb == PeerVerb::Cancel && known->second.m_movingTo;
    if (cancelsMoving) WaitForRoute(aCall, std::move(aHandler));
    return cancelsMoving;
  }
  if (const auto target = sched::StoredRouteOf(m_cell, aCall.m_job)) {
    PeerAnswer answer;
    answer.m_routedTo = *target;
    aHandler(std::move(answer));
    return true;
  }
  const auto route = m_cell.m_routes.find(aCall.m_job);
  const bool hasRoute = route != m_cell.m_routes.end();
  const bool submits = aCall.m_verb == PeerVerb::Submit;
  // A job that has moved on exists already, a new one only once it is stored.
  if (!submits && !(hasRoute && route->second.m_moveCount > 0)) return false;
  if (!hasRoute) {
    if (aCall.m_routed) return false;
    const TimePoint now = BootNow();
    // Submit refuses the job.
    if (RefuseNewJob(aCall, now)) return false;
    m_loads[m_cellId.Value()] = sched::LoadOf(m_cell);
    const CellId target = sched::ChooseCell(m_cellId, m_loads, aCall.m_spec);
    if (target == m_cellId) return false;
    m_log.Write("[cell]", "route job={:016x} queue={} from={} to={}",
                aCall.m_job.Value(), aCall.m_queue.Value(), m_cellId.Value(),
                target.Value());
    sched::AddJob(m_loads[target.Value()], aCall.m_spec);
    sched::RouteJob(m_cell, aCall.m_job, target, now);
  }
  WaitForRoute(aCall, std::move(aHandler));
  RequestPass();
  return true;
}

void CellOwner::Submit(PeerCall aCall, AnswerHandler aHandler) {
  const TimePoint now = BootNow();
  // A job that is already known is accepted again even if the last commit
  // failed.
  const auto known = m_cell.m_jobs.find(aCall.m_job);
  const bool isNew = known == m_cell.m_jobs.end();
  auto refusal = isNew ? RefuseNewJob(aCall, now) : std::optional<Error>();
  if (!isNew && !known->second.m_specStored && !HasAuthority(now)) {
    // A commit with this job may be under way or stored already.
    refusal = MakeError(ErrorKind::OutcomeUnknown,
                        "the job may be stored; the store is not available");
  }
  if (!refusal) {
    auto when =
        sched::SubmitJob(m_cell, std::move(aCall.m_spec), now, UnixNow());
    if (when) {
      m_log.Write("[cell]", "submit job={:016x} queue={} version={}",
                  aCall.m_job.Value(), aCall.m_queue.Value(),
                  when.value().m_version);
      WaitFor(when.value(), aCall, std::move(aHandler));
      RequestPass();
      return;
    }
    refusal = when.error();
  }
  PeerAnswer answer;
  answer.m_error = std::move(refusal);
  aHandler(std::move(answer));
}

void CellOwner::Adopt(PeerCall aCall, AnswerHandler aHandler) {
  const TimePoint now = BootNow();
  PeerAnswer answer;
  if (!HasAuthority(now) || m_lastCommitTryFailed) {
    answer.m_error =
        MakeError(ErrorKind::StoreUnavailable, "the store is not available");
    aHandler(std::move(answer));
    return;
  }
  auto when = sched::AdoptJob(m_cell, std::move(aCall.m_spec), aCall.m_state,
                              now, UnixNow());
  if (!when) {
    answer.m_error = when.error();
    aHandler(std::move(answer));
    return;
  }
  m_log.Write("[cell]", "adopt job={:016x} cell={} moves={}",
              aCall.m_job.Value(), m_cellId.Value(), aCall.m_state.m_moveCount);
  WaitFor(when.value(), aCall, std::move(aHandler));
  RequestPass();
}

void CellOwner::SendMoves(TimePoint aNow) {
  for (const sched::MovingJob& move : sched::TakeMovesToSend(m_cell, aNow)) {
    const sched::Job& job = m_cell.m_jobs.at(move.m_job);
    PeerCall call;
    call.m_verb = PeerVerb::Adopt;
    call.m_cell = move.m_target;
    call.m_routed = true;
    call.m_job = move.m_job;
    call.m_window = kAdoptWindow;
    call.m_spec = job.m_spec;
    call.m_state = sched::MovingStateOf(m_cell, job);
    m_links.m_callPeer(std::move(call), [self = shared_from_this(),
                                         move](PeerAnswer aAnswer) {
      if (self->m_ended) return;
      const bool arrived = !aAnswer.m_error || aAnswer.m_error->m_kind ==
                                                   ErrorKind::JobAlreadyEnded;
      if (!arrived) return;
      sched::CompleteMove(self->m_cell, move, BootNow());
      self->RequestPass();
    });
  }
}

void CellOwner::WaitFor(const sched::DurableVersion& aWhen,
                        const PeerCall& aCall, AnswerHandler aHandler) {
  m_waiters.emplace(aWhen.m_job,
                    Waiter{false, aWhen.m_version, BootNow() + aCall.m_window,
                           std::move(aHandler)});
  AnswerWaiters();
}

void CellOwner::WaitForRoute(const PeerCall& aCall, AnswerHandler aHandler) {
  m_waiters.emplace(aCall.m_job, Waiter{true, 0, BootNow() + aCall.m_window,
                                        std::move(aHandler)});
}

bool CellOwner::IsAnswered(JobId aJob, const Waiter& aWaiter,
                           PeerAnswer& aAnswer) const {
  if (aWaiter.m_forRoute) {
    aAnswer.m_routedTo = sched::StoredRouteOf(m_cell, aJob);
    return aAnswer.m_routedTo.has_value();
  }
  const auto job = m_cell.m_jobs.find(aJob);
  return job != m_cell.m_jobs.end() && job->second.m_specStored &&
         job->second.m_storedVersion >= aWaiter.m_version;
}

void CellOwner::RefuseUnstored(bool aCommitUnderWay) {
  std::set<JobId> sent;
  if (aCommitUnderWay) {
    for (const sched::JobWrite& write : m_commit.m_writes) {
      sent.insert(write.m_job);
    }
    for (const sched::StoredRoute& route : m_commit.m_routes) {
      sent.insert(route.m_job);
    }
  }
  std::vector<AnswerHandler> refused;
  for (const JobId job : sched::WithdrawUnstored(m_cell, sent)) {
    m_log.Write("[cell]",
                "withdrew job that was not stored job={:016x} by=store",
                job.Value());
    const auto [first, last] = m_waiters.equal_range(job);
    for (auto at = first; at != last; ++at) {
      refused.push_back(std::move(at->second.m_handler));
    }
    m_waiters.erase(first, last);
  }
  for (const AnswerHandler& handler : refused) {
    PeerAnswer answer;
    answer.m_error =
        MakeError(ErrorKind::StoreUnavailable, "the store is not available");
    handler(std::move(answer));
  }
}

void CellOwner::AnswerWaiters() {
  std::vector<std::pair<AnswerHandler, PeerAnswer>> ready;
  for (auto at = m_waiters.begin(); at != m_waiters.end();) {
    PeerAnswer answer;
    if (!IsAnswered(at->first, at->second, answer)) {
      ++at;
      continue;
    }
    ready.emplace_back(std::move(at->second.m_handler), std::move(answer));
    at = m_waiters.erase(at);
  }
  for (auto& [handler, answer] : ready) handler(std::move(answer));
}

void CellOwner::FailWaiters(const Error& aError, bool aOnlyExpired) {
  const TimePoint now = BootNow();
  std::vector<AnswerHandler> failed;
  for (auto at = m_waiters.begin(); at != m_waiters.end();) {
    if (aOnlyExpired && now < at->second.m_deadline) {
      ++at;
      continue;
    }
    failed.push_back(std::move(at->second.m_handler));
    at = m_waiters.erase(at);
  }
  for (const AnswerHandler& handler : failed) {
    PeerAnswer answer;
    answer.m_error = aError;
    handler(std::move(answer));
  }
}

}  // namespace bronze
