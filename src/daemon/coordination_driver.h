/**
 * @file coordination_driver.h Connects membership, epochs and ownership to I/O.
 *
 * Each epoch assigns every unit (a runner, a rack, or a shard of teams or of
 * idempotency keys) to one member, which alone may act for it.
 */

#ifndef BRONZE_DAEMON_COORDINATION_DRIVER_H_
#define BRONZE_DAEMON_COORDINATION_DRIVER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/membership/membership_cmd.h"
#include "core/membership/membership_func.h"
#include "core/ownership/ownership_cmd.h"
#include "core/ownership/ownership_func.h"
#include "daemon/peer_hub.h"
#include "tableservice/table_client.h"

namespace bronze {

/** Callbacks into the other drivers; all on the control thread. */
struct CoordinationEvents {
  std::function<void()> m_epochAdopted;
  std::function<void(const UnitId& aUnit)> m_unitAcquired;
  std::function<void(const UnitId& aUnit)> m_unitLost;
  std::function<void()> m_selfLeaving;
  std::function<void()> m_sendHeartbeats;
  std::function<void(const LeaseRow& aRow)> m_leaseRowRead;
};

/** Every function is called on the control thread. */
class CoordinationDriver {
 public:
  CoordinationDriver(const NodeSettings& aNode, Incarnation aIncarnation,
                     PeerHub& aHub, TableClient& aTable, Counters& aCounters,
                     CoordinationEvents aEvents);

  void Start();
  void UseSettings(const CoordinationSettings& aSettings);
  void UseVmList(const std::vector<VmInfo>& aVms);

  /** @return whether the heartbeat is valid for the other drivers too. */
  bool OnHeartbeat(const PeerMessage& aMessage);
  void OnRelease(const PeerMessage& aMessage);
  void OnEpochNotice(const EpochNotice& aNotice);

  void SendHeartbeats(const HeartbeatLoad& aLoad);
  void Tick();

  /** Records that the table service has answered another driver. */
  void OnStoreAnswered();
  void OnLeaseCommitted(Epoch aEpoch, TimePoint aSent);
  void ReadEpochRowNow();

  /** Reads the lease rows of these VMs; m_leaseRowRead gets each of them. */
  void ReadLeaseRows(const std::vector<VmId>& aVms);

  /** Marks this VM as draining, so that the next epoch leaves it out. */
  void BeginDrain();
  /** Releases all units; the daemon acts for none of them afterwards. */
  void ReleaseUnits();

  [[nodiscard]] const MembershipState& Members() const { return m_members; }
  [[nodiscard]] const OwnershipState& Owners() const { return m_owners; }
  [[nodiscard]] TimePoint AuthorityUntil() const;
  [[nodiscard]] bool MayAct(const UnitId& aUnit) const;
  [[nodiscard]] std::string EpochKey() const;
  [[nodiscard]] std::string LeaseKey() const;

 private:
  void ReadEpochRow();
  void UseEpochRow(const EpochRow& aRow, RowVersion aVersion);
  void Propose();
  void OnProposalEnd(const EpochRow& aRow, const CommitReply& aReply);
  void CarryOut(MembershipEffects& aEffects);
  void CarryOut(OwnershipEffects& aEffects);
  void Connect();

  RegionId m_region;
  PeerHub& m_hub;
  TableClient& m_table;
  Counters& m_counters;
  CoordinationEvents m_events;
  MembershipState m_members;
  OwnershipState m_owners;
  std::map<VmId, boost::asio::ip::tcp::endpoint> m_peerAddresses;
  bool m_readingEpoch = false;
  bool m_proposing = false;  ///< The commit of a proposed epoch is in flight.
  std::set<VmId> m_readingLeases;  ///< VMs whose lease row is being read.
  TimePoint m_nextEpochRead;
  TimePoint m_nextLeaseReads;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_COORDINATION_DRIVER_H_
