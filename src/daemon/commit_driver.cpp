/**
 * @file commit_driver.cpp Commits the changes of all drivers to the table in
 * groups.
 */

#include "daemon/commit_driver.h"

#include "codec/coordination_json.h"
#include "daemon/clock.h"
#include "daemon/overloaded.h"

namespace bronze {

namespace {

constexpr Duration kTableTimeout = seconds(2);
constexpr Duration kStartReadInterval = milliseconds(500);

}  // namespace

CommitDriver::CommitDriver(TableClient& aTable,
                           CoordinationDriver& aCoordination,
                           Counters& aCounters)
    : m_table(aTable), m_coordination(aCoordination), m_counters(aCounters) {}

void CommitDriver::UseSettings(const CoordinationSettings& aSettings) {
  m_state.m_settings.m_interval = aSettings.m_commitInterval;
  m_state.m_settings.m_leaseInterval = aSettings.m_leaseDuration / 4;
}

void CommitDriver::Submit(TableChange aChange, DoneHandler aOnDone) {
  if (!aChange.m_id.IsValid()) aChange.m_id = ChangeId(m_nextId++);
  if (aOnDone) m_handlers.emplace(aChange.m_id, std::move(aOnDone));
  AddChange(m_state, std::move(aChange));
}

void CommitDriver::Drop(const std::string& aUnit) {
  for (const TableChange& change : m_state.m_pending) {
    if (change.m_unit == aUnit) m_handlers.erase(change.m_id);
  }
  DropChangesOf(m_state, aUnit);
}

void CommitDriver::Tick() {
  const TimePoint now = Now();
  if (!m_started) {
    if (!m_readingLease && now >= m_nextStartRead) ReadLease();
    return;
  }
  const auto& members = m_coordination.Members();
  // A daemon that is not a member writes its lease row once per epoch. The row
  // shows the new owners that it no longer acts for any unit.
  if (members.m_row.m_epoch == Epoch()) return;
  if (!IsMember(members) && m_committedEpoch >= members.m_row.m_epoch) return;
  const auto due = DueCommit(m_state, members.m_rowVersion, now);
  if (!due) return;
  // A commit with unknown outcome is repeated unchanged, with its old epoch.
  if (!m_state.m_inDoubt) m_attemptEpoch = members.m_row.m_epoch;
  StoreEffects effects;
  BeginCommit(m_state, Fence(due->m_sequence), now, m_counters, effects);
  CarryOut(effects);
}

CommitFence CommitDriver::Fence(CommitSequence aSequence) const {
  const LeaseRow row =
      MakeLeaseRow(m_coordination.Owners(), aSequence, m_configHeld);
  return {{m_coordination.EpochKey(), m_coordination.Members().m_rowVersion},
          m_coordination.LeaseKey(),
          EncodeLeaseRow(row)};
}

void CommitDriver::ReadLease() {
  m_readingLease = true;
  m_nextStartRead = Now() + kStartReadInterval;
  m_table.ReadRow(
      m_coordination.LeaseKey(), kTableTimeout, [this](Result<TableRow> aRow) {
        m_readingLease = false;
        const TimePoint now = Now();
        if (!aRow) {
          if (m_started) LeaseReadFailed(m_state, now, m_counters);
          return;
        }
        m_coordination.OnStoreAnswered();
        // A row written by an earlier incarnation does not count this process's
        // commits.
        const auto row = DecodeLeaseRow(aRow.value().m_value);
        const bool own =
            row.has_value() &&
            row.value().m_incarnation == m_coordination.Members().m_incarnation;
        const CommitSequence sequence =
            own ? row.value().m_sequence : CommitSequence();
        if (!m_started) {
          m_started = true;
          StartCommits(m_state, sequence, aRow.value().m_version);
          return;
        }
        StoreEffects effects;
        LeaseRowRead(m_state, sequence, aRow.value().m_version, now, m_counters,
                     effects);
        CarryOut(effects);
      });
}

void CommitDriver::CarryOut(StoreEffects& aEffects) {
  for (StoreEffect& effect : aEffects) {
    std::visit(Overloaded{[this](const SendCommit& aEffect) { Send(aEffect); },
                          [this](const ReadLeaseRow&) { ReadLease(); },
                          [this](const EpochRowChanged&) {
                            m_coordination.ReadEpochRowNow();
                          },
                          [this](const ChangeDone& aEffect) {
                            auto handler = m_handlers.extract(aEffect.m_id);
                            if (handler) handler.mapped()(aEffect);
                          },
                          [this](const LeaseCommitted& aEffect) {
                            m_committedEpoch = m_attemptEpoch;
                            m_coordination.OnLeaseCommitted(m_attemptEpoch,
                                                            aEffect.m_sent);
                          }},
               effect);
  }
}

void CommitDriver::Send(const SendCommit& aEffect) {
  m_table.Commit(aEffect.m_transaction, kTableTimeout,
                 [this](const CommitReply& aReply) {
                   if (aReply.m_end == CommitEnd::Committed ||
                       aReply.m_end == CommitEnd::Conflict) {
                     m_coordination.OnStoreAnswered();
                   }
                   // Here the core uses only the keys of the fence.
                   StoreEffects effects;
                   CommitEnded(m_state, aReply, Fence(CommitSequence()), Now(),
                               m_counters, effects);
                   CarryOut(effects);
                 });
}

}  // namespace bronze
