/**
 * @file cell_owner_calls.cpp Answers calls about jobs of a cell.
 */

#include <algorithm>

#include "core/error/error_func.h"
#include "core/sched/job_cmd.h"
#include "core/sched/move_cmd.h"
#include "core/sched/route_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kAdoptWindow = seconds(2);

int64_t ToMillis(Duration aTime) {
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

/** @return the time at which the caller must be answered. */
TimePoint DeadlineOf(const PeerCall& aCall) {
  return BootNow() +
         std::max(aCall.m_window - sched::kAnswerTime, aCall.m_window / 2);
}

Error RefusalOf(sched::AdmissionVerdict aVerdict) {
  switch (aVerdict) {
    case sched::AdmissionVerdict::StoreAway:
      return MakeError(ErrorKind::StoreUnavailable,
                       "the store is not available");
    case sched::AdmissionVerdict::TooLate:
      return MakeError(ErrorKind::DeadlineUnreachable,
                       "the job cannot be stored before the caller's deadline");
    case sched::AdmissionVerdict::OwnerBehind:
    case sched::AdmissionVerdict::Admit:
      break;
  }
  return MakeError(ErrorKind::NotReady,
                   "the owner of the cell is behind with its work");
}

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

sched::CommitFailures CellOwner::Failures(TimePoint aNow) const {
  if (m_commitFailure == sched::CommitFailure::None) return {};
  const Duration failingFor = aNow - m_commitFailingSince;
  // Earlier answers do not tell that the store is not silent now.
  const bool answersOthers =
      m_store.AnsweredAt() > m_commitFailingSince + failingFor / 2;
  return {m_commitFailure, failingFor, answersOthers};
}

bool CellOwner::IsStoreAway(TimePoint aNow) const {
  return sched::IsStoreAway(Failures(aNow),
                            sched::ExpectedCommitTime(m_recentCommits));
}

sched::AdmissionInput CellOwner::AdmissionInputOf(const PeerCall& aCall,
                                                  TimePoint aNow) const {
  sched::AdmissionInput input;
  // A commit proves the ownership, also while heartbeats come too late. While
  // they are refused, look-ups are too: a caller could not look up its job.
  const bool isHeartbeatLate =
      m_heartbeatPending && aNow - m_lastCommitSentAt < kOwnerTimeout;
  input.m_reachesStore = HasAuthority(aNow) || isHeartbeatLate;
  input.m_loopLag = m_loopLag;
  input.m_window = aCall.m_window;
  input.m_expectedCommit = sched::ExpectedCommitTime(m_recentCommits);
  if (m_commitPending) {
    input.m_tryAge = aNow - m_commitSentAt;
  } else {
    input.m_commitPause = std::max(m_commitNotBefore - aNow, Duration::zero());
  }
  input.m_commitRows = m_commitRows;
  input.m_rowsFirst = m_cell.m_dirtyRoutes.size();
  input.m_newJobsAhead = m_cell.m_newJobs.size();
  const size_t changed = m_cell.m_dirty.size();
  input.m_otherRows = changed - std::min(changed, input.m_newJobsAhead);
  input.m_failures = Failures(aNow);
  return input;
}

sched::Admission CellOwner::Admit(const PeerCall& aCall, TimePoint aNow) const {
  return sched::DecideAdmission(AdmissionInputOf(aCall, aNow));
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
    if (Admit(aCall, now).m_verdict != sched::AdmissionVerdict::Admit) {
      return false;
    }
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
  sched::Admission admission;
  if (isNew) {
    admission = Admit(aCall, now);
    ++m_admissions[static_cast<size_t>(admission.m_verdict)];
  }
  if (admission.m_verdict != sched::AdmissionVerdict::Admit) {
    RefuseNewJob(aCall, admission, now, aHandler);
    return;
  }
  PeerAnswer answer;
  if (!isNew && !known->second.m_specStored && !HasAuthority(now)) {
    // A commit with this job may be under way or stored already.
    answer.m_error =
        MakeError(ErrorKind::OutcomeUnknown,
                  "the job may be stored; the store is not available");
    aHandler(std::move(answer));
    return;
  }
  auto when = sched::SubmitJob(m_cell, std::move(aCall.m_spec), now, UnixNow());
  if (!when) {
    answer.m_error = when.error();
    aHandler(std::move(answer));
    return;
  }
  m_log.Write("[cell]",
              "submit job={:016x} queue={} version={} expected_wait_ms={}",
              aCall.m_job.Value(), aCall.m_queue.Value(),
              when.value().m_version, ToMillis(admission.m_expectedWait));
  WaitFor(when.value(), aCall, std::move(aHandler));
  RequestPass();
}

void CellOwner::RefuseNewJob(const PeerCall& aCall,
                             const sched::Admission& aAdmission, TimePoint aNow,
                             const AnswerHandler& aHandler) {
  const sched::AdmissionInput input = AdmissionInputOf(aCall, aNow);
  m_log.Write(
      "[cell]",
      "refuse job={:016x} reason={} window_ms={} expected_wait_ms={} "
      "commit_ms={} try_age_ms={} commit_rows={} rows_first={} new_jobs={} "
      "other_rows={} failure={} failing_ms={} answers_others={} lag_ms={} "
      "reaches_store={}",
      aCall.m_job.Value(), sched::VerdictName(aAdmission.m_verdict),
      ToMillis(input.m_window), ToMillis(aAdmission.m_expectedWait),
      ToMillis(input.m_expectedCommit),
      input.m_tryAge ? ToMillis(*input.m_tryAge) : -1, input.m_commitRows,
      input.m_rowsFirst, input.m_newJobsAhead, input.m_otherRows,
      sched::FailureName(input.m_failures.m_last),
      ToMillis(input.m_failures.m_for), input.m_failures.m_answersOthers,
      ToMillis(input.m_loopLag), input.m_reachesStore);
  PeerAnswer answer;
  answer.m_error = RefusalOf(aAdmission.m_verdict);
  answer.m_retryAfter = aAdmission.m_retryAfter;
  aHandler(std::move(answer));
}

void CellOwner::Adopt(PeerCall aCall, AnswerHandler aHandler) {
  const TimePoint now = BootNow();
  PeerAnswer answer;
  if (!HasAuthority(now) || m_commitFailure != sched::CommitFailure::None) {
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
  m_waiters.emplace(
      aWhen.m_job,
      Waiter{false, aWhen.m_version, DeadlineOf(aCall), std::move(aHandler)});
  AnswerWaiters();
}

void CellOwner::WaitForRoute(const PeerCall& aCall, AnswerHandler aHandler) {
  m_waiters.emplace(aCall.m_job,
                    Waiter{true, 0, DeadlineOf(aCall), std::move(aHandler)});
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

std::set<JobId> CellOwner::JobsInCommit() const {
  std::set<JobId> sent;
  if (!m_commitPending) return sent;
  for (const sched::JobWrite& write : m_commit.m_writes) {
    sent.insert(write.m_job);
  }
  for (const sched::StoredRoute& route : m_commit.m_routes) {
    sent.insert(route.m_job);
  }
  return sent;
}

void CellOwner::RefuseUnstored() {
  RefuseWithdrawn(sched::WithdrawUnstored(m_cell, JobsInCommit()),
                  RefusalOf(sched::AdmissionVerdict::StoreAway));
}

void CellOwner::RefuseUnstoredIfAway(TimePoint aNow) {
  const bool waits = !m_cell.m_newJobs.empty() || !m_cell.m_dirtyRoutes.empty();
  if (waits && IsStoreAway(aNow)) RefuseUnstored();
}

void CellOwner::RefuseWithdrawn(const std::vector<JobId>& aJobs,
                                const Error& aError) {
  std::vector<AnswerHandler> refused;
  for (const JobId job : aJobs) {
    m_log.Write("[cell]", "withdrew job that was not stored job={:016x} by={}",
                job.Value(), AnswerFor(aError.m_kind).m_name);
    const auto [first, last] = m_waiters.equal_range(job);
    for (auto at = first; at != last; ++at) {
      refused.push_back(std::move(at->second.m_handler));
    }
    m_waiters.erase(first, last);
  }
  for (const AnswerHandler& handler : refused) {
    PeerAnswer answer;
    answer.m_error = aError;
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

void CellOwner::FailWaiters(const Error& aError) {
  const auto waiters = std::move(m_waiters);
  m_waiters.clear();
  for (const auto& [job, waiter] : waiters) {
    PeerAnswer answer;
    answer.m_error = aError;
    waiter.m_handler(std::move(answer));
  }
}

void CellOwner::FailExpiredWaiters(TimePoint aNow) {
  const auto isExpired = [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.m_deadline;
  };
  std::set<JobId> expired;
  for (const auto& entry : m_waiters) {
    if (isExpired(entry)) expired.insert(entry.first);
  }
  if (expired.empty()) return;
  const std::set<JobId> sent = JobsInCommit();
  std::vector<JobId> withdrawn;
  for (const JobId job : expired) {
    // While another caller waits for the same job, it may still run.
    const auto [first, last] = m_waiters.equal_range(job);
    // A job from another cell is stored there, and its owner sends it again.
    const auto known = m_cell.m_jobs.find(job);
    const bool cameFromCell =
        known != m_cell.m_jobs.end() && known->second.m_moveCount > 0;
    if (std::all_of(first, last, isExpired) && sent.count(job) == 0 &&
        !cameFromCell && sched::WithdrawJob(m_cell, job)) {
      withdrawn.push_back(job);
    }
  }
  RefuseWithdrawn(withdrawn, RefusalOf(sched::AdmissionVerdict::TooLate));
  std::vector<AnswerHandler> failed;
  for (auto at = m_waiters.begin(); at != m_waiters.end();) {
    if (!isExpired(*at)) {
      ++at;
      continue;
    }
    failed.push_back(std::move(at->second.m_handler));
    at = m_waiters.erase(at);
  }
  for (const AnswerHandler& handler : failed) {
    PeerAnswer answer;
    answer.m_error =
        MakeError(ErrorKind::Timeout,
                  "the change was not stored before the caller's deadline");
    handler(std::move(answer));
  }
}

}  // namespace bronze
