/**
 * @file cell_owner_commit.cpp Commits of the cell that this daemon owns, and
 * its release.
 *
 * One transaction is in progress at a time. It is repeated unchanged until its
 * outcome is known. If a repetition fails with a conflict and the owner row has
 * the sequence number of this transaction, an earlier try has been stored. What
 * follows from the end of each try is decided in commit_tries_func.h.
 */

#include <algorithm>

#include "core/metrics/histogram_func.h"
#include "core/sched/job_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

/** Rows of a new job. */
constexpr size_t kMinRowsPerCommit = 2;
/** How long a job is left out whose rows the store does not accept. */
constexpr Duration kRejectedRetry = seconds(30);
constexpr int kLastHeartbeatTries = 3;
/** Shorter than for later tries, as the pooled connection that the first try
 *  uses may no longer respond. */
constexpr Duration kFirstTimeout = milliseconds(900);
constexpr Duration kRetryTimeout = seconds(2);
constexpr Duration kRetryPause = milliseconds(100);

std::string JobKey(JobId aJob) { return fmt::format("{:016x}", aJob.Value()); }

std::string BlockKey(const sched::TaskBlockKey& aKey) {
  return fmt::format("{:016x}.{}.{}", aKey.m_job.Value(), aKey.m_occurrence,
                     aKey.m_firstTask);
}

/** @return the owner row as a conflict shows it; null: it shows none. */
const StoreRow* OwnerRowIn(const TransactionResult& aResult) {
  for (const StoreRow& row : aResult.m_current) {
    if (row.m_key.m_table == kOwnerTable) return &row;
  }
  return nullptr;
}

/** Whether both rows were written by the same transaction, of which an owner
 *  may make several tries. */
bool IsSameWrite(const OwnerRow& aStored, const OwnerRow& aSent) {
  return aStored.m_vm == aSent.m_vm &&
         aStored.m_incarnation == aSent.m_incarnation &&
         aStored.m_sequence == aSent.m_sequence;
}

sched::CommitFailure FailureOf(const TransactionResult& aResult) {
  switch (aResult.m_outcome) {
    case StoreOutcome::Unknown:
    case StoreOutcome::Malformed:
      return sched::CommitFailure::Unanswered;
    case StoreOutcome::Refused:
      return aResult.m_overloaded ? sched::CommitFailure::Overloaded
                                  : sched::CommitFailure::Unavailable;
    default:
      return sched::CommitFailure::Unavailable;
  }
}

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
  m_commit = sched::TakeCommit(m_cell, m_commitRows, now);
  ++m_ownerRow.m_sequence;
  // Without the stored state, nothing is known of the runners.
  if (m_loaded) m_ownerRow.m_unresponsive = UnresponsiveRows();
  m_ownerRow.m_largestAsker = RecentAsker(now);
  // The last commit before a handover clears the owner, so that another daemon
  // can claim the cell without waiting for kOwnerTimeout.
  if (releasing && !sched::HasCommit(m_cell)) {
    m_ownerRow.m_vm.clear();
    if (m_handover) m_ownerRow.m_successor = m_handover->m_to;
    m_releaseSent = true;
  }
  m_transaction = {};
  AddCommitRows();
  m_commitPending = true;
  m_tries = {};
  m_doubtedRow.reset();
  m_commitTries = 0;
  m_commitBegunAt = now;
  SendCommit();
}

void CellOwner::AddCommitRows() {
  const RowKey ownerKey{kOwnerTable, m_part, kOwnerKey};
  m_transaction.m_expected.push_back({ownerKey, m_ownerVersion});
  auto& puts = m_transaction.m_puts;
  puts.push_back({ownerKey, EncodeOwnerRow(m_ownerRow), {}});
  for (const sched::JobWrite& write : m_commit.m_writes) {
    const std::string key = JobKey(write.m_job);
    if (write.m_spec) {
      puts.push_back(
          {{kJobTable, m_part, key}, EncodeJobSpec(*write.m_spec), {}});
    }
    if (write.m_state) {
      puts.push_back(
          {{kStateTable, m_part, key}, EncodeJobState(*write.m_state), {}});
    }
    for (const sched::StoredTaskBlock& block : write.m_blocks) {
      puts.push_back({{kTaskTable, m_part, BlockKey(block.m_key)},
                      EncodeTaskBlock(block),
                      {}});
    }
  }
  for (const sched::StoredRoute& route : m_commit.m_routes) {
    puts.push_back(
        {{kRouteTable, m_part, JobKey(route.m_job)}, EncodeRoute(route), {}});
  }
  if (m_commit.m_interference) {
    puts.push_back({{kInterferenceTable, m_part, kInterferenceKey},
                    EncodeInterference(*m_commit.m_interference),
                    {}});
  }
  auto& removes = m_transaction.m_removes;
  for (const JobId job : m_commit.m_removed) {
    removes.push_back({kJobTable, m_part, JobKey(job)});
    removes.push_back({kStateTable, m_part, JobKey(job)});
  }
  for (const sched::BlockRemoval& removal : m_commit.m_removedBlocks) {
    removes.push_back({kTaskTable, m_part, BlockKey(removal.m_block)});
  }
  for (const JobId job : m_commit.m_removedRoutes) {
    removes.push_back({kRouteTable, m_part, JobKey(job)});
  }
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
  const Duration first = sched::FirstTimeout(
      sched::ExpectedCommitTime(m_recentCommits), kFirstTimeout, kRetryTimeout);
  const Duration timeout = m_commitTries++ == 0 ? first : kRetryTimeout;
  sched::BeginTry(m_tries);
  m_store.Transact(m_transaction, timeout,
                   [self = shared_from_this()](TransactionResult aResult) {
                     self->OnCommitted(std::move(aResult));
                   });
}

sched::TryEnd CellOwner::TryEndOf(const TransactionResult& aResult) const {
  switch (aResult.m_outcome) {
    case StoreOutcome::Done:
      return sched::TryEnd::Stored;
    case StoreOutcome::Refused:
      return sched::TryEnd::Refused;
    case StoreOutcome::Rejected:
      return sched::TryEnd::Rejected;
    case StoreOutcome::Unknown:
    case StoreOutcome::Malformed:
    case StoreOutcome::HistoryLost:
      return sched::TryEnd::Unanswered;
    case StoreOutcome::Conflict:
      break;
  }
  const StoreRow* row = OwnerRowIn(aResult);
  if (row == nullptr) return sched::TryEnd::OtherRow;
  const auto owner = DecodeOwnerRow(row->m_value);
  if (!owner) return sched::TryEnd::OtherRow;
  if (IsSameWrite(owner.value(), m_ownerRow)) return sched::TryEnd::OwnRow;
  const bool isDoubted =
      m_doubtedRow && IsSameWrite(owner.value(), *m_doubtedRow);
  return isDoubted ? sched::TryEnd::DoubtedRow : sched::TryEnd::OtherRow;
}

void CellOwner::OnCommitted(TransactionResult aResult) {
  if (m_ended) return;
  const sched::TryEnd end = TryEndOf(aResult);
  const sched::CommitStep step = sched::EndTry(m_tries, end);
  if (end != sched::TryEnd::Stored) {
    m_log.Write("[store]",
                "commit not confirmed cell={} sequence={} status={} "
                "in_doubt={} settles={} {}",
                m_cellId.Value(), m_ownerRow.m_sequence, aResult.m_status,
                m_tries.m_inDoubt, m_tries.m_settles,
                OriginFields(aResult.m_origin));
  }
  const StoreRow* found = OwnerRowIn(aResult);
  const RowVersion version = end == sched::TryEnd::Stored || found == nullptr
                                 ? aResult.m_version
                                 : found->m_version;
  const bool isFailure = end == sched::TryEnd::Refused ||
                         end == sched::TryEnd::Rejected ||
                         end == sched::TryEnd::Unanswered;
  if (isFailure) NoteFailedTry(aResult);
  switch (step) {
    case sched::CommitStep::Stored:
      if (m_doubtedRow) m_ownerRow = *m_doubtedRow;
      FinishCommit(version);
      return;
    case sched::CommitStep::Lost:
      LoseCell("another daemon has rewritten the owner row");
      return;
    case sched::CommitStep::NotStored:
      if (m_tries.m_settles) NoteOwnerRowStored(version);
      GiveUpCommit(end);
      return;
    case sched::CommitStep::Settle:
      SettleCommit();
      [[fallthrough]];
    case sched::CommitStep::Repeat:
      RefuseUnstoredIfAway(BootNow());
      RepeatCommit();
      return;
  }
}

void CellOwner::NoteFailedTry(const TransactionResult& aResult) {
  if (m_commitFailure == sched::CommitFailure::None) {
    m_commitFailingSince = m_commitSentAt;
  }
  m_commitFailure = FailureOf(aResult);
}

void CellOwner::RepeatCommit() {
  m_commitTimer.expires_after(m_commitTries == 1 ? Duration(1) : kRetryPause);
  m_commitTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError && !self->m_ended) self->SendCommit();
      });
}

void CellOwner::SettleCommit() {
  LogRejection();
  m_doubtedRow = m_ownerRow;
  ++m_ownerRow.m_sequence;
  // A release in doubt is settled by a row that still has this owner.
  m_ownerRow.m_vm = m_vm;
  m_ownerRow.m_successor.clear();
  const RowKey ownerKey{kOwnerTable, m_part, kOwnerKey};
  m_transaction = {};
  m_transaction.m_expected.push_back({ownerKey, m_ownerVersion});
  m_transaction.m_puts.push_back({ownerKey, EncodeOwnerRow(m_ownerRow), {}});
}

void CellOwner::GiveUpCommit(sched::TryEnd aEnd) {
  const bool isRejected = aEnd == sched::TryEnd::Rejected || m_tries.m_settles;
  if (aEnd == sched::TryEnd::Rejected) LogRejection();
  AbandonCommit();
  if (!isRejected) {
    RefuseUnstoredIfAway(BootNow());
    return;
  }
  RefuseUnstored();
  NarrowCommits();
}

void CellOwner::AbandonCommit() {
  sched::ReturnCommit(m_cell, m_commit);
  m_commitPending = false;
  // A last commit that was refused is made again.
  m_ownerRow.m_vm = m_vm;
  m_ownerRow.m_successor.clear();
  m_releaseSent = false;
  WithdrawHandover("the store refused the commit");
  m_commitNotBefore = BootNow() + kRetryPause;
}

void CellOwner::LogRejection() {
  ++m_rejectedCommits;
  m_log.Write("[store]",
              "commit rejected for its content cell={} sequence={} rows={} "
              "limit={}",
              m_cellId.Value(), m_ownerRow.m_sequence,
              m_transaction.m_puts.size() + m_transaction.m_removes.size(),
              m_commitRows);
}

void CellOwner::NarrowCommits() {
  if (m_commitRows > kMinRowsPerCommit) {
    m_commitRows = std::max(m_commitRows / 2, kMinRowsPerCommit);
    return;
  }
  for (const sched::JobWrite& write : m_commit.m_writes) {
    m_log.Write("[store]", "rows of a job are left out cell={} job={:016x}",
                m_cellId.Value(), write.m_job.Value());
    sched::HoldBackJob(m_cell, write.m_job, BootNow() + kRejectedRetry);
  }
}

void CellOwner::NoteOwnerRowStored(RowVersion aVersion) {
  m_ownerVersion = aVersion;
  m_lastCommitSentAt = m_commitSentAt;
  m_cell.m_newestFence = FencingToken(aVersion.Value());
}

void CellOwner::FinishCommit(RowVersion aVersion) {
  m_commitPending = false;
  m_commitRows = std::min(m_commitRows * 2, kMaxRowsPerCommit);
  NoteOwnerRowStored(aVersion);
  const TimePoint now = BootNow();
  Record(m_commitTimes, now - m_commitBegunAt);
  // Only the last try tells how quickly the store answers now.
  sched::RecordCommit(m_recentCommits, now - m_commitSentAt);
  if (m_commitFailure != sched::CommitFailure::None) {
    m_log.Write("[store]", "commits succeed again cell={} tries={}",
                m_cellId.Value(), m_commitTries);
  }
  m_commitFailure = sched::CommitFailure::None;
  sched::ApplyCommitted(m_cell, m_commit, now);
  AnswerWaiters();
  if (m_ownerRow.m_vm.empty()) {
    auto done = std::move(m_onReleased);
    m_handedTo = m_ownerRow.m_successor;
    Abandon();
    SendLastHeartbeat(kLastHeartbeatTries, std::move(done));
    return;
  }
  RequestPass();
}

void CellOwner::Release(std::function<void()> aDone) {
  if (m_ended) {
    aDone();
    return;
  }
  if (m_handover && m_onReleased) {
    // The process is to end while the cell is handed over to another VM.
    m_handover->m_mayWithdraw = false;
    m_onReleased = [first = std::move(m_onReleased),
                    second = std::move(aDone)] {
      first();
      second();
    };
    return;
  }
  m_onReleased = std::move(aDone);
  if (m_loaded) {
    RequestPass();
  } else {
    // Nothing to schedule and no pass yet, but another daemon need not wait.
    m_commitTimer.cancel();
    StartCommit();
  }
}

void CellOwner::Abandon() {
  if (m_ended) return;
  m_ended = true;
  m_releaseSent = true;
  m_tickTimer.cancel();
  m_commitTimer.cancel();
  if (m_runnerWatch) m_runnerWatch->Stop();
  FailWaiters(MakeError(ErrorKind::OutcomeUnknown,
                        "this daemon no longer owns the cell"));
}

void CellOwner::LoseCell(std::string_view aReason) {
  m_log.Write("[cell]", "no longer owner cell={} fence={} by={}",
              m_cellId.Value(), m_cell.m_fence.Value(), aReason);
  const auto released = std::move(m_onReleased);
  Abandon();
  if (m_handover) EndHandover("lost");
  if (released) released();
  m_onLost();
}

}  // namespace bronze
