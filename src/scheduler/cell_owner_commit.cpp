/**
 * @file cell_owner_commit.cpp Commits of the cell that this daemon owns.
 *
 * One transaction is in progress at a time. It is repeated unchanged until its
 * outcome is known. If a repetition fails with a conflict and the owner row has
 * the sequence number of this transaction, an earlier try has been stored.
 */

#include "core/metrics/histogram_func.h"
#include "core/sched/job_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

/** A transaction holds at most 100 rows: two per job, and the owner row. */
constexpr size_t kMaxJobsPerCommit = 45;
/** Shorter than for later tries, as the pooled connection that the first try
 *  uses may no longer respond. */
constexpr Duration kFirstTimeout = milliseconds(900);
constexpr Duration kRetryTimeout = seconds(2);
constexpr Duration kRetryPause = milliseconds(100);

std::string JobKey(JobId aJob) { return fmt::format("{:016x}", aJob.Value()); }

}  // namespace

void CellOwner::StartCommit() {
  if (m_commitPending || m_ended) return;
  const TimePoint now = BootNow();
  if (now < m_commitNotBefore) return;
  const bool releasing = static_cast<bool>(m_onReleased);
  if (!sched::HasCommit(m_cell) && !releasing &&
      now - m_lastCommitSentAt < kOwnerHeartbeatInterval) {
    return;
  }
  m_commit = sched::TakeCommit(m_cell, kMaxJobsPerCommit, now);
  m_transaction = {};
  const RowKey ownerKey{kOwnerTable, m_part, kOwnerKey};
  m_transaction.m_expected.push_back({ownerKey, m_ownerVersion});
  ++m_ownerRow.m_sequence;
  m_ownerRow.m_unresponsive = UnresponsiveRows();
  // The last commit before a handover clears the owner, so that another daemon
  // can claim the cell without waiting for kOwnerTimeout.
  if (releasing && !sched::HasCommit(m_cell)) m_ownerRow.m_vm.clear();
  m_transaction.m_puts.push_back({ownerKey, EncodeOwnerRow(m_ownerRow), {}});
  for (const sched::JobWrite& write : m_commit.m_writes) {
    const std::string key = JobKey(write.m_job);
    if (write.m_spec) {
      m_transaction.m_puts.push_back(
          {{kJobTable, m_part, key}, EncodeJobSpec(*write.m_spec), {}});
    }
    m_transaction.m_puts.push_back(
        {{kStateTable, m_part, key}, EncodeJobState(write.m_state), {}});
  }
  if (m_commit.m_interference) {
    m_transaction.m_puts.push_back(
        {{kInterferenceTable, m_part, kInterferenceKey},
         EncodeInterference(*m_commit.m_interference),
         {}});
  }
  for (const JobId job : m_commit.m_removed) {
    m_transaction.m_removes.push_back({kJobTable, m_part, JobKey(job)});
    m_transaction.m_removes.push_back({kStateTable, m_part, JobKey(job)});
  }
  m_commitPending = true;
  m_commitOutcomeUnknown = false;
  m_commitTries = 0;
  m_commitBegunAt = now;
  SendCommit();
}

std::vector<UnresponsiveRunnerRow> CellOwner::UnresponsiveRows() const {
  std::vector<UnresponsiveRunnerRow> rows;
  for (const sched::UnresponsiveRunner& runner : m_commit.m_unresponsive) {
    const auto lapsesAt = m_store.StoreTimeUpperBound(runner.m_lapsesAt);
    if (lapsesAt) rows.push_back({runner.m_runner, *lapsesAt});
  }
  return rows;
}

void CellOwner::SendCommit() {
  m_commitSentAt = BootNow();
  const Duration timeout = m_commitTries++ == 0 ? kFirstTimeout : kRetryTimeout;
  m_store.Transact(m_transaction, timeout,
                   [self = shared_from_this()](TransactionResult aResult) {
                     self->OnCommitted(std::move(aResult));
                   });
}

void CellOwner::OnCommitted(TransactionResult aResult) {
  if (m_ended) return;
  if (aResult.m_outcome == StoreOutcome::Done) {
    FinishCommit(aResult.m_version);
    return;
  }
  if (aResult.m_outcome == StoreOutcome::Conflict) {
    for (const StoreRow& row : aResult.m_current) {
      if (row.m_key.m_table != kOwnerTable) continue;
      const auto owner = DecodeOwnerRow(row.m_value);
      if (owner && owner.value().m_vm == m_ownerRow.m_vm &&
          owner.value().m_incarnation == m_ownerRow.m_incarnation &&
          owner.value().m_sequence == m_ownerRow.m_sequence) {
        FinishCommit(row.m_version);
        return;
      }
    }
    LoseCell("another daemon has rewritten the owner row");
    return;
  }
  m_lastCommitTryFailed = true;
  if (aResult.m_outcome == StoreOutcome::Refused && !m_commitOutcomeUnknown) {
    // Nothing was stored: the rows go into a later transaction.
    sched::ReturnCommit(m_cell, m_commit);
    m_commitPending = false;
    m_commitNotBefore = BootNow() + kRetryPause;
    RefuseUnstored(false);
    return;
  }
  if (aResult.m_outcome != StoreOutcome::Refused) m_commitOutcomeUnknown = true;
  RefuseUnstored(true);
  m_commitTimer.expires_after(m_commitTries == 1 ? Duration(1) : kRetryPause);
  m_commitTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError && !self->m_ended) self->SendCommit();
      });
}

void CellOwner::FinishCommit(RowVersion aVersion) {
  m_commitPending = false;
  m_ownerVersion = aVersion;
  m_lastCommitSentAt = m_commitSentAt;
  Record(m_commitTimes, BootNow() - m_commitBegunAt);
  m_lastCommitTryFailed = false;
  if (m_authorityLapsed) {
    m_authorityLapsed = false;
    m_log.Write("[store]", "commits succeed again cell={} tries={}",
                m_cellId.Value(), m_commitTries);
  }
  m_cell.m_newestFence = FencingToken(aVersion.Value());
  sched::ApplyCommitted(m_cell, m_commit, BootNow());
  AnswerWaiters();
  if (m_ownerRow.m_vm.empty()) {
    const auto done = std::move(m_onReleased);
    Abandon();
    done();
    return;
  }
  RequestPass();
}

void CellOwner::WaitFor(const sched::DurableVersion& aWhen,
                        const PeerCall& aCall, AnswerHandler aHandler) {
  m_waiters.emplace(
      aWhen.m_job,
      Waiter{aWhen.m_version, BootNow() + aCall.m_window, std::move(aHandler)});
  AnswerWaiters();
}

void CellOwner::RefuseUnstored(bool aCommitUnderWay) {
  std::set<JobId> sent;
  if (aCommitUnderWay) {
    for (const sched::JobWrite& write : m_commit.m_writes) {
      sent.insert(write.m_job);
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
  std::vector<AnswerHandler> ready;
  for (auto at = m_waiters.begin(); at != m_waiters.end();) {
    const auto job = m_cell.m_jobs.find(at->first);
    if (job == m_cell.m_jobs.end() || !job->second.m_specStored ||
        job->second.m_storedVersion < at->second.m_version) {
      ++at;
      continue;
    }
    ready.push_back(std::move(at->second.m_handler));
    at = m_waiters.erase(at);
  }
  for (const AnswerHandler& handler : ready) handler(PeerAnswer{});
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

void CellOwner::Release(std::function<void()> aDone) {
  if (m_ended || !m_loaded) {
    Abandon();
    aDone();
    return;
  }
  m_onReleased = std::move(aDone);
  RequestPass();
}

void CellOwner::Abandon() {
  if (m_ended) return;
  m_ended = true;
  m_tickTimer.cancel();
  m_commitTimer.cancel();
  if (m_runnerWatch) m_runnerWatch->Stop();
  FailWaiters(MakeError(ErrorKind::OutcomeUnknown,
                        "this daemon no longer owns the cell"),
              false);
}

void CellOwner::LoseCell(std::string_view aReason) {
  m_log.Write("[cell]", "no longer owner cell={} fence={} by={}",
              m_cellId.Value(), m_cell.m_fence.Value(), aReason);
  const auto released = std::move(m_onReleased);
  Abandon();
  if (released) released();
  m_onLost();
}

}  // namespace bronze
