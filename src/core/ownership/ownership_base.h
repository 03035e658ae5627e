/**
 * @file ownership_base.h Authority of one daemon, and the state of its units.
 */

#ifndef BRONZE_CORE_OWNERSHIP_OWNERSHIP_BASE_H_
#define BRONZE_CORE_OWNERSHIP_OWNERSHIP_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "core/config/settings_type.h"
#include "core/ownership/unit_func.h"

namespace bronze {

/** A round of heartbeats sent by this daemon. Echoes extend its authority. */
struct SentHeartbeat {
  HeartbeatSequence m_sequence;
  TimePoint m_sent;
};

/** Time limits up to which this daemon may act for its units in its epoch. */
struct Authority {
  TimePoint m_storeUntil;  ///< Limit by commits; TimePoint{}: no commit yet.
  std::optional<TimePoint> m_storeContact;  ///< Last answer of the table.
  std::deque<SentHeartbeat> m_sent;  ///< No older than the confirmation time.
  /** Limit by the echoes of each other member in the same epoch. */
  std::map<VmId, TimePoint> m_confirmedUntil;
  bool m_wasValid = false;    ///< At the last tick.
  bool m_wasByPeers = false;  ///< At the last tick.
};

/** The latest epoch that another VM is known to have adopted. */
struct PeerEpoch {
  Incarnation m_incarnation;
  Epoch m_epoch;
};

/** Progress of an earlier epoch towards being settled: no daemon has valid
 * authority in it any more. */
struct EarlierEpochState {
  EarlierEpoch m_row;
  Assignment m_assignment;
  /** When self learned that a later epoch is committed. */
  TimePoint m_supersededAt;
  std::set<VmId> m_departed;  ///< Members that adopted a later one or are gone.
  /** When the remaining members became too few for a majority. */
  std::optional<TimePoint> m_majorityLostAt;
};

struct OwnershipState {
  VmId m_self;
  Incarnation m_incarnation;
  CoordinationSettings m_settings;

  EpochRow m_row;           ///< The adopted epoch; 0 before the first one.
  Assignment m_assignment;  ///< Of m_row.
  bool m_isMember = false;  ///< This incarnation is a member of m_row.

  Authority m_authority;
  std::vector<EarlierEpochState> m_earlier;  ///< As in m_row.m_unsettled.
  std::map<VmId, PeerEpoch> m_peers;
  std::set<VmId> m_gone;  ///< Gone for good, according to the platform.

  std::set<UnitId> m_listed;            ///< All runners and racks that exist.
  std::map<UnitId, UnitState> m_units;  ///< Units that self owns in m_row.
  bool m_allReleased = false;  ///< The drain is over: self acts for no unit.

  /** Highest epoch in which self acted for the unit. Nobody else can act for it
   * in that epoch or an earlier one. */
  std::map<UnitId, Epoch> m_actedThrough;
  /** Per VM and unit, the highest epoch that a message Release covers. */
  std::map<VmId, std::map<UnitId, Epoch>> m_releasedByMessage;
  /** Per VM, the highest epoch in which its lease row releases all units. */
  std::map<VmId, Epoch> m_releasedByRow;
  /** Units to release, by the VM to tell. Repeated until m_repeatReleasesUntil,
   * because messages may be lost. */
  std::map<VmId, std::set<UnitId>> m_pendingReleases;
  TimePoint m_repeatReleasesUntil;
  TimePoint m_nextRelease;
};

}  // namespace bronze

#endif  // BRONZE_CORE_OWNERSHIP_OWNERSHIP_BASE_H_
