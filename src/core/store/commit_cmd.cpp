/**
 * @file commit_cmd.cpp Group commit: all pending changes in one transaction.
 */

#include "core/store/commit_cmd.h"

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

namespace bronze {

namespace {

void BackOff(GroupCommitState& aState, TimePoint aNow) {
  const CommitSettings& settings = aState.m_settings;
  aState.m_backoff = std::clamp(aState.m_backoff * 2, settings.m_minBackoff,
                                settings.m_maxBackoff);
  // Half of the delay is random, so that the daemons do not all retry at the
  // same moment when the table is available again.
  std::uniform_int_distribution<Duration::rep> jitter(
      aState.m_backoff.count() / 2, aState.m_backoff.count());
  aState.m_backoffUntil = aNow + Duration(jitter(aState.m_random));
}

void ResetBackoff(GroupCommitState& aState) {
  aState.m_backoff = Duration::zero();
  aState.m_backoffUntil = {};
}

/** Removes the changes from the pending ones and reports their outcome. */
void FinishChanges(GroupCommitState& aState,
                   const std::unordered_set<ChangeId>& aChanges,
                   ChangeOutcome aOutcome, RowVersion aVersion,
                   StoreEffects& aEffects) {
  std::erase_if(aState.m_pending, [&](const TableChange& aChange) {
    if (!aChanges.contains(aChange.m_id)) return false;
    aEffects.emplace_back(ChangeDone{aChange.m_id, aOutcome, aVersion});
    return true;
  });
}

void FinishCommittedAttempt(GroupCommitState& aState, RowVersion aVersion,
                            StoreEffects& aEffects) {
  const CommitAttempt attempt = std::exchange(aState.m_attempt, {});
  aState.m_leaseVersion = aVersion;
  aState.m_inDoubt = false;
  ResetBackoff(aState);
  aEffects.emplace_back(LeaseCommitted{attempt.m_sequence, attempt.m_sent});
  FinishChanges(aState, {attempt.m_changes.begin(), attempt.m_changes.end()},
                ChangeOutcome::Committed, aVersion, aEffects);
}

/** Whether the change writes one of the keys. Two changes of one row cannot be
 * in the same commit, because both would check the same version. */
bool WritesAnyOf(const TableChange& aChange,
                 const std::set<std::string>& aKeys) {
  return std::any_of(
      aChange.m_writes.begin(), aChange.m_writes.end(),
      [&](const TableWrite& aWrite) { return aKeys.contains(aWrite.m_key); });
}

/** Chooses the changes of the next commit by priority. */
std::vector<const TableChange*> ChooseChanges(const GroupCommitState& aState) {
  const CommitSettings& settings = aState.m_settings;
  size_t normal = 0;
  for (const TableChange& change : aState.m_pending) {
    normal += change.m_priority == ChangePriority::Normal ? 1 : 0;
  }
  const size_t bulkLimit =
      settings.m_maxChanges * settings.m_maxBulkPercent / 100;
  const size_t bulkCount =
      normal >= settings.m_maxChanges
          ? bulkLimit
          : std::max(bulkLimit, settings.m_maxChanges - normal);
  std::vector<const TableChange*> chosen;
  std::set<std::string> used;
  const auto choose = [&](ChangePriority aPriority, size_t aLimit) {
    size_t count = 0;
    for (const TableChange& change : aState.m_pending) {
      if (count >= aLimit) break;
      if (change.m_priority != aPriority) continue;
      if (WritesAnyOf(change, used)) continue;
      for (const TableWrite& write : change.m_writes) used.insert(write.m_key);
      chosen.push_back(&change);
      ++count;
    }
    return count;
  };
  choose(ChangePriority::Lease, aState.m_pending.size());
  const size_t bulk = choose(ChangePriority::Bulk, bulkCount);
  choose(ChangePriority::Normal, settings.m_maxChanges - bulk);
  return chosen;
}

void BuildAttempt(GroupCommitState& aState, const CommitFence& aFence,
                  TimePoint aNow) {
  aState.m_sequence = aState.m_sequence.Next();
  CommitAttempt attempt{aState.m_sequence, aNow, {}};
  TableTransaction transaction;
  transaction.m_checks = {aFence.m_epoch,
                          {aFence.m_leaseKey, aState.m_leaseVersion}};
  transaction.m_writes = {{aFence.m_leaseKey, aFence.m_leaseValue}};
  for (const TableChange* change : ChooseChanges(aState)) {
    attempt.m_changes.push_back(change->m_id);
    transaction.m_checks.insert(transaction.m_checks.end(),
                                change->m_checks.begin(),
                                change->m_checks.end());
    transaction.m_writes.insert(transaction.m_writes.end(),
                                change->m_writes.begin(),
                                change->m_writes.end());
  }
  aState.m_attempt = std::move(attempt);
  aState.m_transaction = std::move(transaction);
}

void EndWithConflict(GroupCommitState& aState, const CommitReply& aReply,
                     const CommitFence& aFence, TimePoint aNow,
                     Counters& aCounters, StoreEffects& aEffects) {
  Count(aCounters, CounterId::CommitsConflicted);
  ResetBackoff(aState);
  const std::set<std::string> keys(aReply.m_conflicts.begin(),
                                   aReply.m_conflicts.end());
  if (keys.contains(aFence.m_leaseKey)) {
    // The lease row has changed: an earlier send of this attempt took effect,
    // or another process wrote the row.
    aState.m_mustReadLease = true;
    return;
  }
  const bool epochFailed = keys.contains(aFence.m_epoch.m_key);
  if (epochFailed) {
    aState.m_rejectedEpochVersion =
        aState.m_transaction.m_checks.front().m_version;
    aEffects.emplace_back(EpochRowChanged{});
  }
  const std::unordered_set<ChangeId> sent(aState.m_attempt.m_changes.begin(),
                                          aState.m_attempt.m_changes.end());
  std::unordered_set<ChangeId> failed;
  for (const TableChange& change : aState.m_pending) {
    if (!sent.contains(change.m_id)) continue;
    if (std::any_of(change.m_checks.begin(), change.m_checks.end(),
                    [&](const TableCheck& aCheck) {
                      return keys.contains(aCheck.m_key);
                    })) {
      failed.insert(change.m_id);
    }
  }
  // The rejected attempt cannot take effect later: its checks will fail again.
  aState.m_inDoubt = false;
  FinishChanges(aState, failed, ChangeOutcome::Conflict, RowVersion(),
                aEffects);
  if (failed.empty() && !epochFailed) BackOff(aState, aNow);
}

}  // namespace

void StartCommits(GroupCommitState& aState, CommitSequence aLast,
                  RowVersion aLeaseVersion) {
  aState.m_sequence = aLast;
  aState.m_leaseVersion = aLeaseVersion;
}

void AddChange(GroupCommitState& aState, TableChange aChange) {
  aState.m_pending.push_back(std::move(aChange));
}

void DropChangesOf(GroupCommitState& aState, const std::string& aUnit) {
  std::erase_if(aState.m_pending, [&](const TableChange& aChange) {
    return aChange.m_unit == aUnit;
  });
}

std::optional<CommitDue> DueCommit(const GroupCommitState& aState,
                                   RowVersion aEpochVersion, TimePoint aNow) {
  if (aState.m_phase != CommitPhase::Idle || aNow < aState.m_backoffUntil) {
    return std::nullopt;
  }
  if (aState.m_mustReadLease) return CommitDue{aState.m_sequence, true};
  if (aState.m_rejectedEpochVersion == aEpochVersion &&
      aState.m_rejectedEpochVersion != RowVersion()) {
    return std::nullopt;
  }
  const CommitSettings& settings = aState.m_settings;
  const Duration wait = aState.m_pending.empty() && !aState.m_inDoubt
                            ? settings.m_leaseInterval
                            : settings.m_interval;
  const bool first = aState.m_lastSent == TimePoint();
  if (!first && aNow < aState.m_lastSent + wait) return std::nullopt;
  return CommitDue{
      aState.m_inDoubt ? aState.m_sequence : aState.m_sequence.Next(), false};
}

void BeginCommit(GroupCommitState& aState, const CommitFence& aFence,
                 TimePoint aNow, Counters& aCounters, StoreEffects& aEffects) {
  if (aState.m_mustReadLease) {
    aState.m_phase = CommitPhase::Reading;
    Count(aCounters, CounterId::StoreReads);
    aEffects.emplace_back(ReadLeaseRow{aFence.m_leaseKey});
    return;
  }
  if (!aState.m_inDoubt) BuildAttempt(aState, aFence, aNow);
  aState.m_phase = CommitPhase::InFlight;
  aState.m_lastSent = aNow;
  Count(aCounters, CounterId::CommitsSent);
  aEffects.emplace_back(SendCommit{aState.m_sequence, aState.m_transaction});
}

void CommitEnded(GroupCommitState& aState, const CommitReply& aReply,
                 const CommitFence& aFence, TimePoint aNow, Counters& aCounters,
                 StoreEffects& aEffects) {
  if (aState.m_phase != CommitPhase::InFlight) return;
  aState.m_phase = CommitPhase::Idle;
  switch (aReply.m_outcome) {
    case CommitOutcome::Committed:
      aState.m_rejectedEpochVersion = RowVersion();
      FinishCommittedAttempt(aState, aReply.m_version, aEffects);
      return;
    case CommitOutcome::Conflict:
      EndWithConflict(aState, aReply, aFence, aNow, aCounters, aEffects);
      return;
    case CommitOutcome::Unavailable:
      Count(aCounters, CounterId::CommitsUnavailable);
      Count(aCounters, CounterId::StoreRetryCommit);
      BackOff(aState, aNow);
      return;
    case CommitOutcome::ReplyLost:
      Count(aCounters, CounterId::CommitsReplyLost);
      aState.m_inDoubt = true;
      aState.m_mustReadLease = true;
      return;
  }
}

void LeaseRowRead(GroupCommitState& aState, CommitSequence aSequence,
                  RowVersion aVersion, TimePoint aNow, Counters& aCounters,
                  StoreEffects& aEffects) {
  if (aState.m_phase != CommitPhase::Reading) return;
  aState.m_phase = CommitPhase::Idle;
  aState.m_mustReadLease = false;
  Count(aCounters, CounterId::CommitsResolved);
  if (aVersion == aState.m_leaseVersion) {
    // The attempt has not taken effect, but it may still arrive. Repeating it
    // unchanged is safe: only one of the two can pass the check of the row.
    Count(aCounters, CounterId::StoreRetryCommit);
    BackOff(aState, aNow);
    return;
  }
  if (aState.m_attempt.m_sequence == aSequence &&
      aSequence != CommitSequence()) {
    FinishCommittedAttempt(aState, aVersion, aEffects);
    return;
  }
  // Another process has written the row under this VM's id. The attempt did not
  // take effect, because it checked the earlier version.
  aState.m_attempt = {};
  aState.m_inDoubt = false;
  aState.m_leaseVersion = aVersion;
  aState.m_sequence = std::max(aState.m_sequence, aSequence);
}

void LeaseReadFailed(GroupCommitState& aState, TimePoint aNow,
                     Counters& aCounters) {
  if (aState.m_phase != CommitPhase::Reading) return;
  aState.m_phase = CommitPhase::Idle;
  Count(aCounters, CounterId::StoreReadsFailed);
  Count(aCounters, CounterId::StoreRetryRead);
  BackOff(aState, aNow);
}

}  // namespace bronze
