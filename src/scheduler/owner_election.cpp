/**
 * @file owner_election.cpp Claims one cell when it has no live owner.
 */

#include "scheduler/owner_election.h"

#include <algorithm>

#include "scheduler/boot_clock.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kReadTimeout = milliseconds(1000);
constexpr Duration kClaimTimeout = milliseconds(1200);
/** A request takes as long as the release of the cell. */
constexpr Duration kHandoverWindow = milliseconds(2500);

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
    OnLiveOwner(BootNow());
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

sched::ClaimDelay OwnerElection::ClaimDelayAfter(const OwnerRow& aLast) const {
  sched::ClaimView view;
  view.m_vm = m_identity.m_vm;
  view.m_cell = m_cell;
  view.m_own = {m_identity.m_capability, m_identity.m_claimedCells()};
  view.m_lastOwner = aLast.m_capability;
  view.m_known = m_directory.OtherOwners(m_cell);
  view.m_known.push_back(
      {aLast.m_capability, m_directory.OtherCellsOf(aLast.m_vm, m_cell)});
  view.m_known.push_back({aLast.m_largestAsker, 0});
  // A successor that has claimed the cell clears the name.
  view.m_successor = VmId(aLast.m_successor);
  return sched::DecideClaimDelay(view);
}

void OwnerElection::NoteDeferral(const OwnerRow& aLast,
                                 const sched::ClaimDelay& aDelay) {
  const bool isUsual = aDelay.m_reason == sched::ClaimReason::Spread ||
                       aDelay.m_reason == sched::ClaimReason::Successor;
  if (isUsual || m_claimDeferred) return;
  m_claimDeferred = true;
  const std::string_view reason = sched::NameOf(aDelay.m_reason);
  ++m_links.m_counts.m_deferredClaims[std::string(reason)];
  m_log.Write("[cell]",
              "claim deferred cell={} reason={} delay_ms={} cpu={} last_cpu={} "
              "largest_asker_cpu={} successor={}",
              m_cell.Value(), reason,
              std::chrono::duration_cast<milliseconds>(aDelay.m_delay).count(),
              m_identity.m_capability.m_cpu.Value(),
              aLast.m_capability.m_cpu.Value(),
              aLast.m_largestAsker.m_cpu.Value(), aLast.m_successor);
}

void OwnerElection::OnLiveOwner(TimePoint aNow) {
  m_seen.reset();
  m_vacantSince = TimePoint();
  m_timer.cancel();
  if (m_claimDeferred) {
    m_claimDeferred = false;
    ++m_links.m_counts.m_leftClaims;
    const HeartbeatRow& owner = *m_directory.Of(m_cell).m_heartbeat;
    m_log.Write("[cell]", "claim left cell={} to={} cpu={} own_cpu={}",
                m_cell.Value(), owner.m_vm, owner.m_capability.m_cpu.Value(),
                m_identity.m_capability.m_cpu.Value());
  }
  ConsiderAsking(aNow);
}

void OwnerElection::ConsiderAsking(TimePoint aNow) {
  const HeartbeatRow& owner = *m_directory.Of(m_cell).m_heartbeat;
  sched::AskView view;
  view.m_own = {m_identity.m_capability, m_identity.m_claimedCells()};
  view.m_owner = {owner.m_capability,
                  m_directory.OtherCellsOf(owner.m_vm, m_cell)};
  view.m_goodReads = m_directory.GoodReads();
  view.m_lostAt = m_lostAt;
  AskState& state = *m_identity.m_askState;
  view.m_notBefore = state.m_notBefore;
  if (state.m_isPending || !sched::ShouldAsk(view, aNow)) return;
  m_log.Write("[cell]", "asking for cell={} owner={} cpu={} own_cpu={}",
              m_cell.Value(), owner.m_vm, owner.m_capability.m_cpu.Value(),
              m_identity.m_capability.m_cpu.Value());
  PeerCall call;
  call.m_verb = PeerVerb::HandOver;
  call.m_cell = m_cell;
  call.m_window = kHandoverWindow;
  call.m_handover = {m_identity.m_vm, Incarnation(m_identity.m_incarnation),
                     m_identity.m_capability};
  m_asking = true;
  state.m_isPending = true;
  m_links.m_callPeer(std::move(call),
                     [self = shared_from_this()](const PeerAnswer& aAnswer) {
                       self->OnHandoverAnswer(aAnswer);
                     });
}

void OwnerElection::OnHandoverAnswer(const PeerAnswer& aAnswer) {
  m_asking = false;
  const bool isAnswered =
      !aAnswer.m_error || aAnswer.m_error->m_kind != ErrorKind::OutcomeUnknown;
  *m_identity.m_askState = {false, sched::NextAskTime(isAnswered, BootNow())};
  const std::string_view result = !aAnswer.m_error ? "accepted"
                                  : isAnswered     ? "declined"
                                                   : "unanswered";
  ++m_links.m_counts.m_requests[std::string(result)];
  if (!aAnswer.m_error) m_successorUntil = BootNow() + kMaxSuccessionTime;
  m_log.Write("[cell]", "request for cell={} {} reason={}", m_cell.Value(),
              result, aAnswer.m_error ? aAnswer.m_error->m_message : "");
  // The next read of the directory would show it, too.
  const bool mayClaim = !m_owner && !m_busy && !m_handingOver;
  if (!aAnswer.m_error && mayClaim) ReadOwnerRow();
}

bool OwnerElection::IsClaimed() const {
  return m_owner || m_claiming || m_asking || BootNow() < m_successorUntil;
}

bool OwnerElection::IsHandedOver() const {
  const bool takesOver = m_isSuccessor && IsClaimed() && !LocalOwner();
  const bool isReleased = m_owner && !m_owner->HandedTo().empty();
  return takesOver || isReleased ||
         (m_handedOverAt != TimePoint() &&
          BootNow() - m_handedOverAt < kMaxSuccessionTime);
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
  const sched::ClaimDelay delay = ClaimDelayAfter(row);
  if (idleSince <= aNow) NoteDeferral(row, delay);
  const Duration left = idleSince + delay.m_delay - aNow;
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
  OwnerRow row;
  row.m_vm = m_identity.m_vm.Value();
  row.m_incarnation = m_identity.m_incarnation;
  row.m_address = m_identity.m_peerAddress;
  row.m_sequence = last.m_sequence + 1;
  row.m_capability = m_identity.m_capability;
  row.m_longestLease = longestLease;
  row.m_unresponsive = last.m_unresponsive;
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
  m_isSuccessor = last.m_successor == m_identity.m_vm.Value();
  m_links.m_store.Transact(
      claim, kClaimTimeout,
      [self = shared_from_this(), row, last](const TransactionResult& aResult) {
        self->OnClaimed(row, last, aResult);
      });
}

void OwnerElection::OnClaimed(const OwnerRow& aClaimed,
                              const OwnerRow& aReplaced,
                              const TransactionResult& aResult) {
  if (aResult.m_outcome == StoreOutcome::Done) {
    m_busy = false;
    m_claiming = false;
    BeginOwning(aClaimed, aReplaced, aResult.m_version);
    return;
  }
  // A claim whose answer was lost may have been stored. The row then names this
  // process, which no other daemon would notice before kOwnerTimeout.
  m_links.m_store.Read(
      kOwnerTable, PartOf(m_cell), "", kReadTimeout,
      [self = shared_from_this(), aClaimed,
       aReplaced](const RowsResult& aRows) {
        self->m_busy = false;
        self->m_claiming = false;
        for (const StoreRow& row : aRows.m_rows) {
          const auto owner = DecodeOwnerRow(row.m_value);
          if (owner && owner.value().m_vm == aClaimed.m_vm &&
              owner.value().m_incarnation == aClaimed.m_incarnation) {
            self->BeginOwning(aClaimed, aReplaced, row.m_version);
            return;
          }
        }
        self->OnOwnerRow(aRows);
      });
}

void OwnerElection::BeginOwning(const OwnerRow& aRow, const OwnerRow& aReplaced,
                                RowVersion aVersion) {
  m_seen.reset();
  m_vacantSince = TimePoint();
  m_timer.cancel();
  m_claimDeferred = false;
  m_owner = std::make_shared<CellOwner>(
      m_context, m_links, m_log,
      OwnerTerm{m_cell, m_layout, aRow, aVersion,
                m_directory.Of(m_cell).m_version,
                m_directory.Of(m_cell).m_changedAt, aReplaced},
      m_settings, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) self->OnOwnerEnded();
      });
  if (m_config) m_owner->SetConfig(*m_config);
  if (m_requests) m_owner->SetRequests(*m_requests);
  m_owner->Start();
  // The claim was on its way when the process was told to end.
  if (m_handingOver) HandOver([] {});
}

void OwnerElection::OnOwnerEnded() {
  const TimePoint now = BootNow();
  if (m_owner && !m_owner->HandedTo().empty()) {
    m_handedOverAt = now;
  } else {
    m_lostAt = now;
  }
  m_owner.reset();
  m_directory.Refresh();
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
