/**
 * @file coordination_driver.cpp Connects membership, epochs and ownership to
 * I/O.
 */

#include "daemon/coordination_driver.h"

#include "codec/coordination_json.h"
#include "core/metrics/counter_func.h"
#include "daemon/clock.h"
#include "daemon/overloaded.h"
#include "net/address_func.h"
#include "net/log_func.h"

namespace bronze {

namespace {

constexpr Duration kTableTimeout = seconds(2);
constexpr Duration kEpochReadInterval = seconds(1);
constexpr Duration kLeaseReadInterval = milliseconds(500);

}  // namespace

CoordinationDriver::CoordinationDriver(const NodeSettings& aNode,
                                       Incarnation aIncarnation, PeerHub& aHub,
                                       TableClient& aTable, Counters& aCounters,
                                       CoordinationEvents aEvents)
    : m_region(aNode.m_region),
      m_hub(aHub),
      m_table(aTable),
      m_counters(aCounters),
      m_events(std::move(aEvents)) {
  m_members.m_self = aNode.m_vm;
  m_members.m_incarnation = aIncarnation;
  m_members.m_dataCentre = aNode.m_dataCentre;
  m_owners.m_self = aNode.m_vm;
  m_owners.m_incarnation = aIncarnation;
}

void CoordinationDriver::Start() { StartMembership(m_members, Now()); }

void CoordinationDriver::UseSettings(const CoordinationSettings& aSettings) {
  m_members.m_settings = aSettings;
  m_owners.m_settings = aSettings;
}

void CoordinationDriver::UseVmList(const std::vector<VmInfo>& aVms) {
  const TimePoint now = Now();
  MembershipEffects effects;
  ApplyVmList(m_members, aVms, now, effects);
  CarryOut(effects);
  std::vector<RunnerId> runners;
  std::vector<RackId> racks;
  for (const VmInfo& vm : aVms) {
    if (vm.m_role == VmRole::Entry && vm.m_state == VmState::Gone) {
      VmGone(m_owners, VmId(vm.m_id), now);
    }
    if (vm.m_role == VmRole::Runner) runners.emplace_back(vm.m_id);
    if (vm.m_role == VmRole::Worker) racks.push_back(vm.m_rack);
  }
  OwnershipEffects unitEffects;
  SetListedUnits(m_owners, runners, racks, unitEffects);
  CarryOut(unitEffects);
}

bool CoordinationDriver::OnHeartbeat(const PeerMessage& aMessage) {
  const TimePoint now = Now();
  MembershipEffects effects;
  const bool accepted =
      ReceiveHeartbeat(m_members, aMessage, now, m_counters, effects);
  CarryOut(effects);
  if (accepted) HeartbeatReceived(m_owners, aMessage, now);
  return accepted;
}

void CoordinationDriver::OnRelease(const PeerMessage& aMessage) {
  ReleaseReceived(m_owners, aMessage);
}

void CoordinationDriver::OnEpochNotice(const EpochNotice& aNotice) {
  UseEpochRow(aNotice.m_row, aNotice.m_rowVersion);
}

void CoordinationDriver::SendHeartbeats(const HeartbeatLoad& aLoad) {
  const TimePoint now = Now();
  MembershipEffects effects;
  const auto sequence =
      bronze::SendHeartbeats(m_members, aLoad, m_counters, effects);
  // The time must be taken before sending: a peer's confirmation counts from
  // it, and a later time would extend the authority too far.
  HeartbeatsSent(m_owners, sequence, now);
  CarryOut(effects);
}

void CoordinationDriver::Tick() {
  const TimePoint now = Now();
  MembershipEffects effects;
  TickMembership(m_members, now, m_counters, effects);
  CarryOut(effects);
  OwnershipEffects unitEffects;
  TickOwnership(m_owners, now, m_counters, unitEffects);
  CarryOut(unitEffects);
  if (now >= m_nextEpochRead) ReadEpochRow();
  if (now >= m_nextLeaseReads) {
    m_nextLeaseReads = now + kLeaseReadInterval;
    ReadLeaseRows(LeaseRowsToRead(m_owners, now));
  }
  Propose();
}

void CoordinationDriver::OnStoreAnswered() { StoreAnswered(m_owners, Now()); }

void CoordinationDriver::OnLeaseCommitted(Epoch aEpoch, TimePoint aSent) {
  CommitAcknowledged(m_owners, aEpoch, aSent, Now());
}

void CoordinationDriver::ReadEpochRowNow() { m_nextEpochRead = TimePoint(); }

void CoordinationDriver::ReadLeaseRows(const std::vector<VmId>& aVms) {
  for (const VmId& vm : aVms) {
    if (!m_readingLeases.insert(vm).second) continue;
    m_table.ReadRow("lease/" + vm.Value(), kTableTimeout,
                    [this, vm](Result<TableRow> aRow) {
                      m_readingLeases.erase(vm);
                      if (!aRow) return;
                      OnStoreAnswered();
                      if (aRow.value().m_version == RowVersion()) return;
                      const auto row = DecodeLeaseRow(aRow.value().m_value);
                      if (!row) return;
                      LeaseRowRead(m_owners, row.value(), Now());
                      m_events.m_leaseRowRead(row.value());
                    });
  }
}

void CoordinationDriver::BeginDrain() { m_members.m_draining = true; }

void CoordinationDriver::ReleaseUnits() {
  OwnershipEffects effects;
  ReleaseAll(m_owners, Now(), m_counters, effects);
  CarryOut(effects);
}

TimePoint CoordinationDriver::AuthorityUntil() const {
  return bronze::AuthorityUntil(m_owners, Now());
}

bool CoordinationDriver::MayAct(const UnitId& aUnit) const {
  return bronze::MayAct(m_owners, aUnit, Now());
}

std::string CoordinationDriver::EpochKey() const {
  return "epoch/" + m_region.Value();
}

std::string CoordinationDriver::LeaseKey() const {
  return "lease/" + m_members.m_self.Value();
}

void CoordinationDriver::ReadEpochRow() {
  if (m_readingEpoch) return;
  m_readingEpoch = true;
  m_nextEpochRead = Now() + kEpochReadInterval;
  m_table.ReadRow(EpochKey(), kTableTimeout, [this](Result<TableRow> aRow) {
    m_readingEpoch = false;
    if (!aRow) return;
    OnStoreAnswered();
    if (aRow.value().m_version == RowVersion()) {
      UseEpochRow(EpochRow(), RowVersion());
      return;
    }
    const auto row = DecodeEpochRow(aRow.value().m_value);
    if (!row) {
      Log(LogLevel::Error, LogPart::Members,
          "cannot decode the epoch row error=\"{}\"", row.error().m_message);
      return;
    }
    UseEpochRow(row.value(), aRow.value().m_version);
  });
}

void CoordinationDriver::UseEpochRow(const EpochRow& aRow,
                                     RowVersion aVersion) {
  if (!AdoptEpochRow(m_members, aRow, aVersion, m_counters)) return;
  Log(LogLevel::Info, LogPart::Members, "new epoch adopted epoch={} members={}",
      aRow.m_epoch.Value(), aRow.m_members.size());
  m_hub.SetEpoch(aRow.m_epoch);
  OwnershipEffects effects;
  AdoptEpoch(m_owners, aRow, Now(), m_counters, effects);
  m_events.m_epochAdopted();
  CarryOut(effects);
}

void CoordinationDriver::Propose() {
  if (m_proposing) return;
  const TimePoint now = Now();
  const auto row =
      ProposeEpoch(m_members, UnsettledForProposal(m_owners, now), now);
  if (!row) return;
  m_proposing = true;
  Count(m_counters, CounterId::EpochsProposed);
  const TableTransaction transaction{{{EpochKey(), m_members.m_rowVersion}},
                                     {{EpochKey(), EncodeEpochRow(*row)}}};
  m_table.Commit(transaction, kTableTimeout,
                 [this, proposed = *row](CommitReply aReply) {
                   OnProposalEnd(proposed, aReply);
                 });
}

void CoordinationDriver::OnProposalEnd(const EpochRow& aRow,
                                       const CommitReply& aReply) {
  m_proposing = false;
  if (aReply.m_end == CommitEnd::Committed) {
    OnStoreAnswered();
    UseEpochRow(aRow, aReply.m_version);
    return;
  }
  // After a conflict or a lost reply, the row shows which proposal succeeded.
  if (aReply.m_end != CommitEnd::Unavailable) ReadEpochRowNow();
}

void CoordinationDriver::CarryOut(MembershipEffects& aEffects) {
  bool reconnect = false;
  bool suspicionChanged = false;
  for (MembershipEffect& effect : aEffects) {
    std::visit(
        Overloaded{
            [this](SendToPeer& aEffect) {
              m_hub.Send(aEffect.m_to, std::move(aEffect.m_message.m_body));
            },
            [&, this](const ConnectPeer& aEffect) {
              const auto address = ParseAddress(aEffect.m_address);
              if (!address) {
                Log(LogLevel::Warn, LogPart::Members,
                    "peer not connected, as its address is invalid vm={} "
                    "error=\"{}\"",
                    aEffect.m_peer.Value(), address.error().m_message);
                return;
              }
              m_peerAddresses[aEffect.m_peer] = address.value();
              reconnect = true;
            },
            [&, this](const DisconnectPeer& aEffect) {
              m_peerAddresses.erase(aEffect.m_peer);
              reconnect = true;
            },
            [&](const SuspicionChanged& aEffect) {
              Log(LogLevel::Warn, LogPart::Members,
                  "suspicion of a peer changed vm={} suspected={}",
                  aEffect.m_peer.Value(), aEffect.m_suspected);
              suspicionChanged = true;
            },
            [this](const SelfLeaving&) { m_events.m_selfLeaving(); },
            [this](const bronze::ReadEpochRow&) { ReadEpochRowNow(); }},
        effect);
  }
  if (reconnect) Connect();
  if (suspicionChanged) m_events.m_sendHeartbeats();
}

void CoordinationDriver::CarryOut(OwnershipEffects& aEffects) {
  for (OwnershipEffect& effect : aEffects) {
    std::visit(
        Overloaded{[this](const UnitAcquired& aEffect) {
                     m_events.m_unitAcquired(aEffect.m_unit);
                   },
                   [this](const UnitLost& aEffect) {
                     m_events.m_unitLost(aEffect.m_unit);
                   },
                   [this](const SendRelease& aEffect) {
                     Release release;
                     for (const UnitId& unit : aEffect.m_units) {
                       release.m_units.push_back(UnitName(unit));
                     }
                     m_hub.Send(aEffect.m_to, std::move(release));
                   },
                   [this](const AuthorityChanged& aEffect) {
                     Log(LogLevel::Info, LogPart::Owners,
                         "authority to act for units changed valid={} epoch={}",
                         aEffect.m_valid, m_owners.m_row.m_epoch.Value());
                   }},
        effect);
  }
}

void CoordinationDriver::Connect() { m_hub.SetPeers(m_peerAddresses); }

}  // namespace bronze
