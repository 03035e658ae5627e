/**
 * @file owner_election.cpp Tracks which daemon owns one cell, and claims it.
 */

#include "scheduler/owner_election.h"

#include <algorithm>

#include "scheduler/boot_clock.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kPollPause = milliseconds(450);
constexpr Duration kPollTimeout = milliseconds(1000);
constexpr Duration kClaimTimeout = milliseconds(1200);
/** After a longer gap between two successful reads, an unchanged row does not
 *  show that the owner is gone: it may have been unable to reach the store. */
constexpr Duration kMaxPollGap = milliseconds(1300);
/** No calls are forwarded to an owner whose row, read from a reachable store,
 *  has not changed for this long. */
constexpr Duration kOwnerRowMaxAge = seconds(4);

/** Most that a VM with less CPU than the last owner adds to its delay before it
 *  claims a cell. */
constexpr Duration kMaxSmallVmDelay = milliseconds(500);
/** CPU of the last owner, in cores, assumed if none is known. An owner of 350
 *  runners needs about 0.15 cores at 860 starts per second. */
constexpr double kDefaultOwnerCpuShare = 0.25;

}  // namespace

OwnerElection::OwnerElection(boost::asio::io_context& aContext,
                             StoreClient& aStore, RunnerClient& aRunners,
                             AdviceClient& aAdvisor, EventLog& aLog,
                             CellId aCell, NodeIdentity aIdentity,
                             const sched::CellSettings& aSettings)
    : m_context(aContext),
      m_store(aStore),
      m_runners(aRunners),
      m_advisor(aAdvisor),
      m_log(aLog),
      m_cell(aCell),
      m_identity(std::move(aIdentity)),
      m_settings(aSettings),
      m_timer(aContext) {}

void OwnerElection::Start() { Poll(); }

void OwnerElection::SetSettings(const sched::CellSettings& aSettings) {
  m_settings = aSettings;
  if (m_owner) m_owner->SetSettings(aSettings);
}

void OwnerElection::SetConfig(
    std::shared_ptr<const sched::LiveConfig> aConfig) {
  m_config = std::move(aConfig);
  if (m_owner) m_owner->SetConfig(*m_config);
}

std::shared_ptr<CellOwner> OwnerElection::LocalOwner() const {
  return m_owner && m_owner->IsScheduling() ? m_owner : nullptr;
}

std::optional<std::string> OwnerElection::RemoteOwner() const {
  if (m_owner || m_row.m_vm.empty() || m_row.m_vm == m_identity.m_vm.Value()) {
    return {};
  }
  const TimePoint now = BootNow();
  const bool storeReachable = now - m_polledAt < kMaxPollGap;
  // If this VM cannot read the store, the last known owner is the best guess:
  // the store may be out of reach only from here, and a daemon that no longer
  // owns the cell rejects the call.
  if (storeReachable && now - m_changedAt > kOwnerRowMaxAge) return {};
  return m_row.m_address;
}

void OwnerElection::PollLater(Duration aPause) {
  m_timer.expires_after(aPause);
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->Poll();
      });
}

void OwnerElection::Poll() {
  if (m_owner) return;
  m_store.Read(kOwnerTable, PartOf(m_cell), "", kPollTimeout,
               [self = shared_from_this()](RowsResult aResult) {
                 self->OnPolled(std::move(aResult));
               });
}

void OwnerElection::OnPolled(RowsResult aResult) {
  if (m_owner) return;
  const TimePoint now = BootNow();
  if (aResult.m_outcome != StoreOutcome::Done) {
    PollLater(kPollPause);
    return;
  }
  const bool gap = !m_everPolled || now - m_polledAt > kMaxPollGap;
  RowVersion version;
  for (const StoreRow& row : aResult.m_rows) {
    if (row.m_key.m_key != kOwnerKey) continue;
    version = row.m_version;
    auto owner = DecodeOwnerRow(row.m_value);
    if (owner) m_row = std::move(owner.value());
  }
  if (gap || version != m_version) m_changedAt = now;
  m_version = version;
  m_polledAt = now;
  m_everPolled = true;
  ConsiderClaim(now);
}

Duration OwnerElection::ClaimDelay() const {
  const double wanted =
      m_row.m_cpuShare > 0.0 ? m_row.m_cpuShare : kDefaultOwnerCpuShare;
  const double lacking =
      std::clamp((wanted - m_identity.m_cpuShare) / wanted, 0.0, 1.0);
  return m_identity.m_claimDelay +
         Duration(static_cast<int64_t>(
             lacking * static_cast<double>(kMaxSmallVmDelay.count())));
}

void OwnerElection::ConsiderClaim(TimePoint aNow) {
  const bool vacant = m_version.Value() == 0 || m_row.m_vm.empty();
  const bool ownEarlierIncarnation =
      m_row.m_vm == m_identity.m_vm.Value() &&
      m_row.m_incarnation != m_identity.m_incarnation;
  const Duration unchangedFor = aNow - m_changedAt;
  const bool ownerTimedOut = unchangedFor > kOwnerTimeout + ClaimDelay();
  const bool mayClaimVacant = vacant && unchangedFor >= ClaimDelay();
  if (!m_handingOver &&
      (ownEarlierIncarnation || ownerTimedOut || mayClaimVacant)) {
    Claim();
    return;
  }
  const Duration left = ClaimDelay() - unchangedFor;
  PollLater(vacant && left > Duration::zero() ? left : kPollPause);
}

void OwnerElection::Claim() {
  OwnerRow row{m_identity.m_vm.Value(),  m_identity.m_incarnation,
               m_identity.m_peerAddress, m_row.m_sequence + 1,
               m_identity.m_cpuShare,    m_row.m_longestLease,
               m_row.m_unresponsive};
  const RowKey key{kOwnerTable, PartOf(m_cell), kOwnerKey};
  StoreTransaction claim;
  claim.m_expected.push_back({key, m_version});
  claim.m_puts.push_back({key, EncodeOwnerRow(row), {}});
  m_log.Write("[cell]", "claiming cell={} from={} version={} silence_ms={}",
              m_cell.Value(), m_row.m_vm, m_version.Value(),
              std::chrono::duration_cast<milliseconds>(BootNow() - m_changedAt)
                  .count());
  m_store.Transact(claim, kClaimTimeout,
                   [self = shared_from_this(), row](TransactionResult aResult) {
                     self->OnClaimed(row, std::move(aResult));
                   });
}

void OwnerElection::OnClaimed(const OwnerRow& aClaimed,
                              TransactionResult aResult) {
  if (aResult.m_outcome == StoreOutcome::Done) {
    BeginOwning(aClaimed, aResult.m_version);
    return;
  }
  // A claim whose answer was lost may have been stored. The row then names this
  // incarnation, and ConsiderClaim would only claim it after kOwnerTimeout.
  m_everPolled = false;
  m_store.Read(kOwnerTable, PartOf(m_cell), "", kPollTimeout,
               [self = shared_from_this(), aClaimed](RowsResult aRows) {
                 for (const StoreRow& row : aRows.m_rows) {
                   const auto owner = DecodeOwnerRow(row.m_value);
                   if (owner && owner.value().m_vm == aClaimed.m_vm &&
                       owner.value().m_incarnation == aClaimed.m_incarnation) {
                     self->BeginOwning(aClaimed, row.m_version);
                     return;
                   }
                 }
                 self->OnPolled(std::move(aRows));
               });
}

void OwnerElection::BeginOwning(const OwnerRow& aRow, RowVersion aVersion) {
  m_row = aRow;
  m_version = aVersion;
  m_owner = std::make_shared<CellOwner>(
      m_context, m_store, m_runners, m_advisor, m_log, m_cell, aRow, aVersion,
      m_settings, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) return;
        self->m_owner.reset();
        self->m_everPolled = false;
        self->Poll();
      });
  if (m_config) m_owner->SetConfig(*m_config);
  m_owner->Start();
}

void OwnerElection::HandOver(std::function<void()> aDone) {
  m_handingOver = true;
  if (!m_owner) {
    aDone();
    return;
  }
  m_owner->Release([weak = weak_from_this(), done = std::move(aDone)] {
    done();
    const auto self = weak.lock();
    if (!self) return;
    self->m_owner.reset();
    self->m_everPolled = false;
    self->Poll();
  });
}

}  // namespace bronze
