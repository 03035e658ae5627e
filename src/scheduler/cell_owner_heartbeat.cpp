/**
 * @file cell_owner_heartbeat.cpp Heartbeats of a cell's owner, which give it
 * the authority to start tasks.
 *
 * A heartbeat expects the version of the one before, so that a former owner
 * that was paused cannot replace the heartbeat of its successor. The term in
 * the row tells the two apart. Each acknowledged heartbeat also moves the
 * horizon up to which this owner extends leases.
 */

#include "core/sched/route_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kHeartbeatTimeout = milliseconds(900);
/** The same in a slow store. A later answer leaves little of the authority that
 *  it gives. */
constexpr Duration kMaxHeartbeatTimeout = milliseconds(1500);
static_assert(kMaxHeartbeatTimeout < kAuthorityDuration);
constexpr Duration kRetryPause = milliseconds(100);

RowKey HeartbeatKey(CellId aCell) {
  return {kHeartbeatTable, "", std::to_string(aCell.Value())};
}

StoreTransaction HeartbeatTransaction(CellId aCell, RowVersion aVersion,
                                      const HeartbeatRow& aRow) {
  StoreTransaction transaction;
  transaction.m_expected.push_back({HeartbeatKey(aCell), aVersion});
  transaction.m_puts.push_back(
      {HeartbeatKey(aCell), EncodeHeartbeatRow(aRow), {}});
  return transaction;
}

}  // namespace

void CellOwner::SendHeartbeat(TimePoint aNow) {
  if (m_ended || m_releaseSent || m_heartbeatPending ||
      aNow < m_nextHeartbeatAt) {
    return;
  }
  if (m_loaded && aNow - m_lastCommitSentAt > kMaxCommitAge) return;
  HeartbeatRow row;
  row.m_vm = m_vm;
  row.m_incarnation = m_ownerRow.m_incarnation;
  row.m_address = m_ownerRow.m_address;
  row.m_sequence = ++m_heartbeatSequence;
  row.m_capability = m_ownerRow.m_capability;
  row.m_term = m_cell.m_fence;
  if (m_loaded) row.m_load = sched::LoadOf(m_cell);
  m_loads[m_cellId.Value()] = row.m_load;
  m_heartbeatPending = true;
  m_nextHeartbeatAt = aNow + kOwnerHeartbeatInterval;
  m_store.Transact(
      HeartbeatTransaction(m_cellId, m_heartbeatVersion, row),
      sched::FirstTimeout(sched::ExpectedCommitTime(m_recentCommits),
                          kHeartbeatTimeout, kMaxHeartbeatTimeout),
      [self = shared_from_this(), aNow](const TransactionResult& aResult) {
        self->OnHeartbeat(aNow, aResult);
      });
}

void CellOwner::OnHeartbeat(TimePoint aSentAt,
                            const TransactionResult& aResult) {
  m_heartbeatPending = false;
  if (m_ended) return;
  const TimePoint now = BootNow();
  switch (aResult.m_outcome) {
    case StoreOutcome::Done:
      m_heartbeatVersion = aResult.m_version;
      m_authorityFrom = aSentAt;
      m_cell.m_leaseHorizon = aSentAt + m_leaseReach;
      if (m_authorityLapsed) {
        m_authorityLapsed = false;
        m_log.Write("[store]", "heartbeats succeed again cell={}",
                    m_cellId.Value());
        RequestPass();
      }
      BeginWhenReady();
      return;
    case StoreOutcome::Conflict:
      if (!AdoptHeartbeat(aResult)) return;
      m_nextHeartbeatAt = now;
      if (!m_loaded) SendHeartbeat(now);
      return;
    case StoreOutcome::Unknown:
      // The store may be slow. The next one has waited for long enough.
      if (m_loaded && now - aSentAt >= kOwnerHeartbeatInterval) {
        m_nextHeartbeatAt = now;
        SendHeartbeat(now);
        return;
      }
      [[fallthrough]];
    case StoreOutcome::Refused:
    case StoreOutcome::Rejected:
    case StoreOutcome::Malformed:
    case StoreOutcome::HistoryLost:
      m_nextHeartbeatAt = now + kRetryPause;
      if (!m_loaded) RepeatFirstHeartbeat();
      return;
  }
}

void CellOwner::RepeatFirstHeartbeat() {
  m_tickTimer.expires_after(kRetryPause);
  m_tickTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (aError || self->m_loaded) return;
        self->m_nextHeartbeatAt = BootNow();
        self->SendHeartbeat(self->m_nextHeartbeatAt);
      });
}

bool CellOwner::AdoptHeartbeat(const TransactionResult& aResult) {
  m_heartbeatVersion = RowVersion();
  for (const StoreRow& row : aResult.m_current) {
    if (row.m_key.m_table != kHeartbeatTable) continue;
    const auto heartbeat = DecodeHeartbeatRow(row.m_value);
    if (heartbeat && heartbeat.value().m_term > m_cell.m_fence) {
      LoseCell("another daemon has written a heartbeat of a later term");
      return false;
    }
    m_heartbeatVersion = row.m_version;
    const bool isEarlier =
        !heartbeat || heartbeat.value().m_term < m_cell.m_fence;
    if (isEarlier) m_earlierHeartbeatsEnd = BootNow();
  }
  return true;
}

void CellOwner::SendLastHeartbeat(int aTriesLeft, std::function<void()> aDone) {
  HeartbeatRow row;
  row.m_incarnation = m_ownerRow.m_incarnation;
  row.m_sequence = ++m_heartbeatSequence;
  row.m_term = m_cell.m_fence;
  row.m_successor = m_ownerRow.m_successor;
  m_store.Transact(HeartbeatTransaction(m_cellId, m_heartbeatVersion, row),
                   kHeartbeatTimeout,
                   [self = shared_from_this(), aTriesLeft,
                    aDone](const TransactionResult& aResult) {
                     // One that was sent before may have been stored meanwhile.
                     const bool again =
                         aResult.m_outcome == StoreOutcome::Conflict &&
                         aTriesLeft > 1;
                     if (!again) {
                       aDone();
                       return;
                     }
                     for (const StoreRow& current : aResult.m_current) {
                       self->m_heartbeatVersion = current.m_version;
                     }
                     self->SendLastHeartbeat(aTriesLeft - 1, aDone);
                   });
}

}  // namespace bronze
