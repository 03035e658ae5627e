/**
 * @file cell_seat.cpp This daemon's view of one cell.
 */

#include "scheduler/cell_seat.h"

#include <algorithm>

#include "scheduler/boot_clock.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kPollPause = milliseconds(450);
constexpr Duration kPollTimeout = milliseconds(1000);
constexpr Duration kClaimTimeout = milliseconds(1200);
/** Two reads further apart than this do not show that the owner was silent in
 *  between: the store may have been away for it, too. */
constexpr Duration kLongestPollGap = milliseconds(1300);
/** An owner whose row has not changed for this, as the store shows, is not
 *  called any more. */
constexpr Duration kViewValid = seconds(4);

/** A VM with less of a core than the last owner waits up to this much longer
 *  before it claims a cell. */
constexpr Duration kSmallVmDelay = milliseconds(500);
/** Share of a core that stands for the last owner's if there was none: an owner
 *  of 350 runners needs some 0.15 of a core (measured, 860 starts a second). */
constexpr double kAmpleCpuShare = 0.25;

}  // namespace

CellSeat::CellSeat(boost::asio::io_context& aContext, StoreClient& aStore,
                   RunnerClient& aRunners, AdviceClient& aAdvisor,
                   EventLog& aLog, CellId aCell, NodeIdentity aIdentity,
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

void CellSeat::Start() { Poll(); }

void CellSeat::SetSettings(const sched::CellSettings& aSettings) {
  m_settings = aSettings;
  if (m_owner) m_owner->SetSettings(aSettings);
}

void CellSeat::SetConfig(std::shared_ptr<const sched::LiveConfig> aConfig) {
  m_config = std::move(aConfig);
  if (m_owner) m_owner->SetConfig(*m_config);
}

std::shared_ptr<CellOwner> CellSeat::LocalOwner() const {
  return m_owner && m_owner->IsActing() ? m_owner : nullptr;
}

std::optional<std::string> CellSeat::RemoteOwner() const {
  if (m_owner || m_row.m_vm.empty() || m_row.m_vm == m_identity.m_vm.Value()) {
    return {};
  }
  const TimePoint now = BootNow();
  const bool storeReachable = now - m_polledAt < kLongestPollGap;
  // Without the store the last owner known is the best guess: it answers for
  // itself whether it still is, and the store may turn only this VM away.
  if (storeReachable && now - m_changedAt > kViewValid) return {};
  return m_row.m_address;
}

void CellSeat::PollLater(Duration aPause) {
  m_timer.expires_after(aPause);
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->Poll();
      });
}

void CellSeat::Poll() {
  if (m_owner) return;
  m_store.Read(kOwnerTable, PartOf(m_cell), "", kPollTimeout,
               [self = shared_from_this()](RowsResult aResult) {
                 self->OnPolled(std::move(aResult));
               });
}

void CellSeat::OnPolled(RowsResult aResult) {
  if (m_owner) return;
  const TimePoint now = BootNow();
  if (aResult.m_outcome != StoreOutcome::Done) {
    PollLater(kPollPause);
    return;
  }
  const bool gap = !m_everPolled || now - m_polledAt > kLongestPollGap;
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

Duration CellSeat::ClaimDelay() const {
  const double wanted =
      m_row.m_cpuShare > 0.0 ? m_row.m_cpuShare : kAmpleCpuShare;
  const double lacking =
      std::clamp((wanted - m_identity.m_cpuShare) / wanted, 0.0, 1.0);
  return m_identity.m_claimDelay +
         Duration(static_cast<int64_t>(
             lacking * static_cast<double>(kSmallVmDelay.count())));
}

void CellSeat::ConsiderClaim(TimePoint aNow) {
  const bool vacant = m_version.Value() == 0 || m_row.m_vm.empty();
  const bool ownEarlierLife = m_row.m_vm == m_identity.m_vm.Value() &&
                              m_row.m_incarnation != m_identity.m_incarnation;
  const Duration silence = aNow - m_changedAt;
  const bool silent = silence > kOwnerSilence + ClaimDelay();
  const bool turn = vacant && silence >= ClaimDelay();
  if (!m_handingOver && (ownEarlierLife || silent || turn)) {
    Claim();
    return;
  }
  const Duration left = ClaimDelay() - silence;
  PollLater(vacant && left > Duration::zero() ? left : kPollPause);
}

void CellSeat::Claim() {
  OwnerRow row{m_identity.m_vm.Value(),
               m_identity.m_incarnation,
               m_identity.m_peerAddress,
               m_row.m_sequence + 1,
               m_identity.m_cpuShare,
               m_row.m_lease,
               m_row.m_silent};
  const RowKey key{kOwnerTable, PartOf(m_cell), kOwnerKey};
  StoreTransaction claim;
  claim.m_expected.push_back({key, m_version});
  claim.m_puts.push_back({key, EncodeOwnerRow(row), {}});
  m_log.Write("[cell]", "claims cell={} from={} version={} silence_ms={}",
              m_cell.Value(), m_row.m_vm, m_version.Value(),
              std::chrono::duration_cast<milliseconds>(BootNow() - m_changedAt)
                  .count());
  m_store.Transact(claim, kClaimTimeout,
                   [self = shared_from_this(), row](TransactionResult aResult) {
                     self->OnClaimed(row, std::move(aResult));
                   });
}

void CellSeat::OnClaimed(const OwnerRow& aClaimed, TransactionResult aResult) {
  if (aResult.m_outcome == StoreOutcome::Done) {
    BeginOwning(aClaimed, aResult.m_version);
    return;
  }
  // A claim without an answer may have taken effect; the next read shows it.
  // The row then names this life, so that no other rule would claim it.
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

void CellSeat::BeginOwning(const OwnerRow& aRow, RowVersion aVersion) {
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

void CellSeat::HandOver(std::function<void()> aDone) {
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
