/**
 * @file ownership_driver.h Simulates the membership and ownership modules of
 * several daemons in virtual time, with a fake table and fake links.
 */

#ifndef BRONZE_TESTS_CORE_OWNERSHIP_DRIVER_H_
#define BRONZE_TESTS_CORE_OWNERSHIP_DRIVER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "core/membership/membership_cmd.h"
#include "core/ownership/ownership_cmd.h"
#include "core/ownership/ownership_func.h"

namespace bronze {

/** Faults of one run. Probabilities are between 0 and 1. */
struct FaultPlan {
  double m_messageLoss = 0.0;  ///< Per message between daemons.
  double m_replyLoss = 0.0;    ///< Per reply of the table; the call has effect.
  double m_pause = 0.0;        ///< Per step, that a running daemon pauses.
  double m_restart = 0.0;      ///< Per step, that a daemon restarts.
  double m_outage = 0.0;       ///< Per step, that the table goes down.
  /** Longest pause, outage and delay of a message. */
  Duration m_maxDuration = seconds(12);
};

struct TestDaemon {
  MembershipState m_membership;
  OwnershipState m_ownership;
  TimePoint m_pausedUntil;
  TimePoint m_nextHeartbeat;
  TimePoint m_nextRead;
  bool m_killed = false;
};

struct Cluster {
  explicit Cluster(size_t aCount, uint32_t aSeed) : m_random(aSeed) {
    for (size_t i = 0; i < aCount; ++i) {
      VmInfo vm;
      vm.m_id = std::string("e").append(std::to_string(i + 1));
      vm.m_role = VmRole::Entry;
      m_vmList.push_back(vm);
    }
    for (size_t i = 0; i < aCount; ++i) Start(i, 1);
    for (int i = 0; i < 12; ++i) {
      m_checkedUnits.push_back(
          RunnerUnit(RunnerId(std::string("r").append(std::to_string(i)))));
      m_checkedUnits.push_back(
          ShardUnit(UnitKind::Team, ShardId(static_cast<uint16_t>(i * 20))));
    }
  }

  void Start(size_t aIndex, uint64_t aIncarnation) {
    TestDaemon daemon;
    const VmId id(m_vmList[aIndex].m_id);
    daemon.m_membership.m_self = id;
    daemon.m_membership.m_incarnation = Incarnation(aIncarnation);
    daemon.m_ownership.m_self = id;
    daemon.m_ownership.m_incarnation = Incarnation(aIncarnation);
    StartMembership(daemon.m_membership, m_now);
    MembershipEffects effects;
    ApplyVmList(daemon.m_membership, m_vmList, m_now, effects);
    std::vector<RunnerId> runners;
    runners.reserve(12);
    for (int i = 0; i < 12; ++i)
      runners.emplace_back(std::string("r").append(std::to_string(i)));
    OwnershipEffects units;
    SetListedUnits(daemon.m_ownership, runners, {}, units);
    if (aIndex < m_daemons.size()) {
      m_daemons[aIndex] = std::move(daemon);
    } else {
      m_daemons.push_back(std::move(daemon));
    }
  }

  bool Chance(double aShare) {
    return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < aShare;
  }

  Duration RandomDuration(const FaultPlan& aPlan) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, aPlan.m_maxDuration.count())(m_random));
  }

  TestDaemon* Find(const VmId& aVm) {
    for (TestDaemon& daemon : m_daemons) {
      if (daemon.m_membership.m_self == aVm) return &daemon;
    }
    return nullptr;
  }

  void Send(const VmId& aTo, const PeerMessage& aMessage,
            const FaultPlan& aPlan) {
    if (Chance(aPlan.m_messageLoss)) return;
    if (m_blockedLinks.contains({aMessage.m_from, aTo})) return;
    // If messages may be lost, a tenth of those that are not lost is delayed.
    const Duration delay = aPlan.m_messageLoss > 0.0 && Chance(0.1)
                               ? RandomDuration(aPlan)
                               : milliseconds(20);
    m_inTransit.emplace(m_now + delay, std::make_pair(aTo, aMessage));
  }

  void Perform(TestDaemon& aDaemon, const MembershipEffects& aEffects,
               const FaultPlan& aPlan) {
    for (const MembershipEffect& effect : aEffects) {
      if (const auto* send = std::get_if<SendToPeer>(&effect)) {
        Send(send->m_to, send->m_message, aPlan);
      } else if (std::holds_alternative<ReadEpochRow>(effect)) {
        ReadRow(aDaemon, aPlan);
      } else if (std::holds_alternative<SuspicionChanged>(effect)) {
        aDaemon.m_nextHeartbeat = m_now;
      }
    }
  }

  void Perform(TestDaemon& aDaemon, const OwnershipEffects& aEffects,
               const FaultPlan& aPlan) {
    for (const OwnershipEffect& effect : aEffects) {
      const auto* release = std::get_if<SendRelease>(&effect);
      if (release == nullptr) continue;
      Release body;
      for (const UnitId& unit : release->m_units) {
        body.m_units.push_back(UnitName(unit));
      }
      Send(release->m_to,
           {aDaemon.m_ownership.m_self, aDaemon.m_ownership.m_incarnation,
            aDaemon.m_ownership.m_row.m_epoch, body},
           aPlan);
    }
  }

  void Adopt(TestDaemon& aDaemon, const EpochRow& aRow, RowVersion aVersion,
             const FaultPlan& aPlan) {
    if (!AdoptEpochRow(aDaemon.m_membership, aRow, aVersion, m_counters)) {
      return;
    }
    OwnershipEffects effects;
    AdoptEpoch(aDaemon.m_ownership, aRow, m_now, m_counters, effects);
    aDaemon.m_nextHeartbeat = m_now;
    Perform(aDaemon, effects, aPlan);
  }

  void ReadRow(TestDaemon& aDaemon, const FaultPlan& aPlan) {
    if (!IsTableUp() || Chance(aPlan.m_replyLoss)) return;
    StoreAnswered(aDaemon.m_ownership, m_now);
    Adopt(aDaemon, m_row, m_rowVersion, aPlan);
  }

  [[nodiscard]] bool IsTableUp() const { return m_now >= m_downUntil; }

  /** Commits the lease row, which fails while the table is down; the reply may
   * be lost. */
  void Renew(TestDaemon& aDaemon, const FaultPlan& aPlan) {
    OwnershipState& ownership = aDaemon.m_ownership;
    if (!IsTableUp() || ownership.m_row.m_epoch != m_row.m_epoch) return;
    m_leases[ownership.m_self] = MakeLeaseRow(ownership, {}, {});
    if (Chance(aPlan.m_replyLoss)) return;
    CommitAcknowledged(ownership, m_row.m_epoch, m_now, m_now);
  }

  void Propose(TestDaemon& aDaemon, const FaultPlan& aPlan) {
    const auto row =
        ProposeEpoch(aDaemon.m_membership,
                     UnsettledForProposal(aDaemon.m_ownership, m_now), m_now);
    if (!row || !IsTableUp()) return;
    if (aDaemon.m_membership.m_rowVersion != m_rowVersion) return;
    m_row = *row;
    m_rowVersion = m_rowVersion.Next();
    if (!Chance(aPlan.m_replyLoss)) {
      Adopt(aDaemon, m_row, m_rowVersion, aPlan);
    }
  }

  void Receive(TestDaemon& aDaemon, const PeerMessage& aMessage,
               const FaultPlan& aPlan) {
    if (std::holds_alternative<Heartbeat>(aMessage.m_body)) {
      MembershipEffects effects;
      if (ReceiveHeartbeat(aDaemon.m_membership, aMessage, m_now, m_counters,
                           effects)) {
        HeartbeatReceived(aDaemon.m_ownership, aMessage, m_now);
      }
      Perform(aDaemon, effects, aPlan);
    } else if (std::holds_alternative<Release>(aMessage.m_body)) {
      ReleaseReceived(aDaemon.m_ownership, aMessage);
    } else if (const auto* notice =
                   std::get_if<EpochNotice>(&aMessage.m_body)) {
      Adopt(aDaemon, notice->m_row, notice->m_rowVersion, aPlan);
    }
  }

  void RunDaemon(TestDaemon& aDaemon, const FaultPlan& aPlan) {
    if (m_now >= aDaemon.m_nextRead) {
      aDaemon.m_nextRead = m_now + seconds(1);
      ReadRow(aDaemon, aPlan);
      for (const auto& [vm, row] : m_leases) {
        if (IsTableUp()) LeaseRowRead(aDaemon.m_ownership, row, m_now);
      }
    }
    MembershipEffects effects;
    TickMembership(aDaemon.m_membership, m_now, m_counters, effects);
    if (m_now >= aDaemon.m_nextHeartbeat) {
      aDaemon.m_nextHeartbeat = m_now + seconds(1);
      const auto sequence =
          SendHeartbeats(aDaemon.m_membership, {}, m_counters, effects);
      HeartbeatsSent(aDaemon.m_ownership, sequence, m_now);
    }
    Perform(aDaemon, effects, aPlan);
    Renew(aDaemon, aPlan);
    Propose(aDaemon, aPlan);
    OwnershipEffects units;
    TickOwnership(aDaemon.m_ownership, m_now, m_counters, units);
    Perform(aDaemon, units, aPlan);
  }

  /** Advances by 100 ms. */
  void Step(const FaultPlan& aPlan) {
    m_now += milliseconds(100);
    if (IsTableUp() && Chance(aPlan.m_outage)) {
      m_downUntil = m_now + RandomDuration(aPlan);
    }
    for (size_t i = 0; i < m_daemons.size(); ++i) {
      TestDaemon& daemon = m_daemons[i];
      if (daemon.m_killed) continue;
      if (Chance(aPlan.m_pause)) {
        daemon.m_pausedUntil = m_now + RandomDuration(aPlan);
      }
      if (Chance(aPlan.m_restart)) {
        Start(i, daemon.m_membership.m_incarnation.Value() + 1);
      }
    }
    // Messages for a paused daemon are delivered when it resumes.
    for (auto it = m_inTransit.begin();
         it != m_inTransit.end() && it->first <= m_now;) {
      TestDaemon* to = Find(it->second.first);
      const bool paused = to->m_pausedUntil > m_now;
      if (!paused && !to->m_killed) Receive(*to, it->second.second, aPlan);
      if (paused) {
        ++it;
      } else {
        it = m_inTransit.erase(it);
      }
    }
    for (TestDaemon& daemon : m_daemons) {
      if (daemon.m_killed || daemon.m_pausedUntil > m_now) continue;
      RunDaemon(daemon, aPlan);
    }
  }

  /** The highest number of daemons that may act for the same checked unit now.
   * Paused ones are counted, because they may resume at any moment. */
  [[nodiscard]] size_t MaxOwners() const {
    size_t most = 0;
    for (const UnitId& unit : m_checkedUnits)
      most = std::max(most, Owners(unit));
    return most;
  }

  [[nodiscard]] size_t Owners(const UnitId& aUnit) const {
    size_t owners = 0;
    for (const TestDaemon& daemon : m_daemons) {
      if (!daemon.m_killed && MayAct(daemon.m_ownership, aUnit, m_now))
        ++owners;
    }
    return owners;
  }

  [[nodiscard]] size_t ServedUnits() const {
    size_t served = 0;
    for (const UnitId& unit : m_checkedUnits) {
      if (Owners(unit) == 1) ++served;
    }
    return served;
  }

  /** Steps without faults until aDone holds. @return the time it took, or
   * nothing if it took longer than aLongest. */
  std::optional<Duration> RunUntil(const std::function<bool()>& aDone,
                                   Duration aLongest) {
    const TimePoint start = m_now;
    while (m_now - start < aLongest) {
      if (aDone()) return m_now - start;
      Step({});
    }
    return std::nullopt;
  }

  std::mt19937 m_random;
  Counters m_counters;
  TimePoint m_now{seconds(1000)};
  TimePoint m_downUntil;
  std::vector<VmInfo> m_vmList;
  std::vector<TestDaemon> m_daemons;
  std::multimap<TimePoint, std::pair<VmId, PeerMessage>> m_inTransit;
  std::set<std::pair<VmId, VmId>> m_blockedLinks;  ///< Sender and receiver.
  std::vector<UnitId> m_checkedUnits;
  EpochRow m_row;  ///< The epoch row in the table.
  RowVersion m_rowVersion;
  std::map<VmId, LeaseRow> m_leases;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_CORE_OWNERSHIP_DRIVER_H_
