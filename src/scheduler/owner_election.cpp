/**
 * @file owner_election.cpp Claims one cell when it has no live owner.
 */

#include "scheduler/owner_election.h"

#include <xxhash.h>

#include <algorithm>

#include "scheduler/boot_clock.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kReadTimeout = milliseconds(1000);
constexpr Duration kClaimTimeout = milliseconds(1200);
/** Claims of a cell without an owner are spread over this time, by a hash of
 * the VM's name and the cell. */
constexpr uint64_t kClaimSpreadMs = 400;
/** Most that a VM with less CPU than the last owner adds to its delay before it
 *  claims a cell. */
constexpr Duration kMaxSmallVmDelay = milliseconds(500);
/** Delay that each cell of this VM adds. */
constexpr Duration kOwnedCellDelay = milliseconds(350);
/** CPU of the last owner, in cores, assumed if none is known. */
constexpr double kDefaultOwnerCpuShare = 0.25;

}  // namespace

OwnerElection::OwnerElection(boost::asio::io_context& aContext,
                             OwnerLinks aLinks, CellDirectory& aDirectory,
                             EventLog& aLog, CellId aCell,
                             sched::CellLayout aLayout, NodeIdentity aIdentity,
                             const OwnerSettings& aSettings)
    : m_context(aContext),
      m_links(std::move(aLinks)),
      m_directory(aDirectory),
      m_log(aLog),
      m_cell(aCell),
      m_layout(aLayout),
      m_identity(std::move(aIdentity)),
      m_settings(aSettings),
      m_timer(aContext) {}

void OwnerElection::SetSettings(const OwnerSettings& aSettings) {
  m_settings = aSettings;
  if (m_owner) m_owner->SetSettings(aSettings);
}

void OwnerElection::SetConfig(
    std::shared_ptr<const sched::LiveConfig> aConfig) {
  m_config = std::move(aConfig);
  if (m_owner) m_owner->SetConfig(*m_config);
}

void OwnerElection::SetRequests(
    std::shared_ptr<const OperatorRequests> aRequests) {
  m_requests = std::move(aRequests);
  if (m_owner) m_owner->SetRequests(*m_requests);
}

std::shared_ptr<CellOwner> OwnerElection::LocalOwner() const {
  return m_owner && m_owner->IsScheduling() ? m_owner : nullptr;
}

bool OwnerElection::HasLiveOwner(TimePoint aNow) const {
  const CellView& view = m_directory.Of(m_cell);
  if (!view.m_heartbeat || view.m_heartbeat->m_vm.empty()) return false;
  const bool ownEarlierProcess =
      view.m_heartbeat->m_vm == m_identity.m_vm.Value() &&
      view.m_heartbeat->m_incarnation != m_identity.m_incarnation;
  return !ownEarlierProcess && aNow - view.m_changedAt <= kOwnerTimeout;
}

bool OwnerElection::NamesHeartbeatOwner(const OwnerRow& aRow) const {
  const CellView& view = m_directory.Of(m_cell);
  return view.m_heartbeat && view.m_heartbeat->m_vm == aRow.m_vm &&
         view.m_heartbeat->m_incarnation == aRow.m_incarnation;
}

void OwnerElection::OnDirectoryRead() {
  if (m_owner || m_busy || m_handingOver) return;
  if (HasLiveOwner(BootNow())) {
    m_seen.reset();
    m_vacantSince = TimePoint();
    m_timer.cancel();
    return;
  }
  ReadOwnerRow();
}

void OwnerElection::ReadOwnerRow() {
  m_busy = true;
  m_links.m_store.Read(kOwnerTable, PartOf(m_cell), "", kReadTimeout,
                       [self = shared_from_this()](const RowsResult& aResult) {
                         self->m_busy = false;
                         if (!self->m_owner) self->OnOwnerRow(aResult);
                       });
}

void OwnerElection::OnOwnerRow(const RowsResult& aResult) {
  if (aResult.m_outcome != StoreOutcome::Done) return;
  const TimePoint now = BootNow();
  SeenRow seen;
  seen.m_since = now;
  for (const StoreRow& row : aResult.m_rows) {
    if (row.m_key.m_key != kOwnerKey) continue;
    seen.m_version = row.m_version;
    auto owner = DecodeOwnerRow(row.m_value);
    if (owner) {
      seen.m_row = std::move(owner.value());
    } else {
      m_log.Write("[cell]", "skipped invalid owner row cell={} error={}",
                  m_cell.Value(), owner.error().m_message);
    }
  }
  if (m_seen && m_seen->m_version == seen.m_version) {
    seen.m_since = m_seen->m_since;
  }
  m_seen = std::move(seen);
  ConsiderClaim(now);
}

Duration OwnerElection::ClaimDelay(const OwnerRow& aLast) const {
  const double wanted =
      aLast.m_cpuShare > 0.0 ? aLast.m_cpuShare : kDefaultOwnerCpuShare;
  const double lacking =
      std::clamp((wanted - m_identity.m_cpuShare) / wanted, 0.0, 1.0);
  const std::string& name = m_identity.m_vm.Value();
  const uint64_t hash =
      XXH3_64bits_withSeed(name.data(), name.size(), m_cell.Value());
  return milliseconds(static_cast<int64_t>(hash % kClaimSpreadMs)) +
         Duration(static_cast<int64_t>(
             lacking * static_cast<double>(kMaxSmallVmDelay.count()))) +
         kOwnedCellDelay * static_cast<int64_t>(m_identity.m_claimedCells());
}

void OwnerElection::ConsiderClaim(TimePoint aNow) {
  if (m_handingOver) return;
  const OwnerRow& row = m_seen->m_row;
  const bool vacant = m_seen->m_version.Value() == 0 || row.m_vm.empty();
  const bool ownEarlierProcess = row.m_vm == m_identity.m_vm.Value() &&
                                 row.m_incarnation != m_identity.m_incarnation;
  if (ownEarlierProcess) {
    Claim();
    return;
  }
  if (!vacant) m_vacantSince = TimePoint();
  if (vacant && m_vacantSince == TimePoint()) m_vacantSince = aNow;
  // Since when it has been known that the owner does nothing.
  const TimePoint idleSince =
      vacant ? m_vacantSince
      : NamesHeartbeatOwner(row)
          ? m_directory.Of(m_cell).m_changedAt + kOwnerTimeout
          : m_seen->m_since + kOwnerTimeout;
  const Duration left = idleSince + ClaimDelay(row) - aNow;
  if (left <= Duration::zero()) {
    Claim();
    return;
  }
  // A VM that claims earlier is seen by another read before this VM does.
  m_timer.expires_after(left);
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->OnDirectoryRead();
      });
}

void OwnerElection::Claim() {
  const OwnerRow& last = m_seen->m_row;
  const sched::CellSettings& cell = m_settings.m_cell;
  // A row without a longest lease is that of an earlier build.
  const bool unknownLease =
      m_seen->m_version.Value() > 0 && last.m_longestLease == Duration::zero();
  const Duration longestLease = std::max(
      last.m_longestLease, unknownLease ? cell.m_leaseCap : cell.m_lease);
  OwnerRow row{m_identity.m_vm.Value(),  m_identity.m_incarnation,
               m_identity.m_peerAddress, last.m_sequence + 1,
               m_identity.m_cpuShare,    longestLease,
               last.m_unresponsive};
  const RowKey key{kOwnerTable, PartOf(m_cell), kOwnerKey};
  StoreTransaction claim;
  claim.m_expected.push_back({key, m_seen->m_version});
  claim.m_puts.push_back({key, EncodeOwnerRow(row), {}});
  m_log.Write("[cell]", "claiming cell={} from={} version={} silence_ms={}",
              m_cell.Value(), last.m_vm, m_seen->m_version.Value(),
              std::chrono::duration_cast<milliseconds>(
                  BootNow() - m_directory.Of(m_cell).m_changedAt)
                  .count());
  m_busy = true;
  m_claiming = true;
  m_links.m_store.Transact(
      claim, kClaimTimeout,
      [self = shared_from_this(), row](const TransactionResult& aResult) {
        self->OnClaimed(row, aResult);
      });
}

void OwnerElection::OnClaimed(const OwnerRow& aClaimed,
                              const TransactionResult& aResult) {
  if (aResult.m_outcome == StoreOutcome::Done) {
    m_busy = false;
    m_claiming = false;
    BeginOwning(aClaimed, aResult.m_version);
    return;
  }
  // A claim whose answer was lost may have been stored. The row then names this
  // process, which no other daemon would notice before kOwnerTimeout.
  m_links.m_store.Read(
      kOwnerTable, PartOf(m_cell), "", kReadTimeout,
      [self = shared_from_this(), aClaimed](const RowsResult& aRows) {
        self->m_busy = false;
        self->m_claiming = false;
        for (const StoreRow& row : aRows.m_rows) {
          const auto owner = DecodeOwnerRow(row.m_value);
          if (owner && owner.value().m_vm == aClaimed.m_vm &&
              owner.value().m_incarnation == aClaimed.m_incarnation) {
            self->BeginOwning(aClaimed, row.m_version);
            return;
          }
        }
        self->OnOwnerRow(aRows);
      });
}

void OwnerElection::BeginOwning(const OwnerRow& aRow, RowVersion aVersion) {
  m_seen.reset();
  m_vacantSince = TimePoint();
  m_timer.cancel();
  m_owner =
      std::make_shared<CellOwner>(m_context, m_links, m_log,
                                  OwnerTerm{m_cell, m_layout, aRow, aVersion,
                                            m_directory.Of(m_cell).m_version,
                                            m_directory.Of(m_cell).m_changedAt},
                                  m_settings, [weak = weak_from_this()] {
                                    const auto self = weak.lock();
                                    if (!self) return;
                                    self->m_owner.reset();
                                    self->m_directory.Refresh();
                                  });
  if (m_config) m_owner->SetConfig(*m_config);
  if (m_requests) m_owner->SetRequests(*m_requests);
  m_owner->Start();
  // The claim was on its way when the process was told to end.
  if (m_handingOver) HandOver([] {});
}

void OwnerElection::HandOver(std::function<void()> aDone) {
  m_handingOver = true;
  m_timer.cancel();
  if (!m_owner) {
    aDone();
    return;
  }
  m_owner->Release([weak = weak_from_this(), done = std::move(aDone)] {
    done();
    const auto self = weak.lock();
    if (!self) return;
    self->m_owner.reset();
    self->m_directory.Refresh();
  });
}

}  // namespace bronze
