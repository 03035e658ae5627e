/**
 * @file membership_base.h What one daemon knows about the other entry VMs.
 */

#ifndef BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H_
#define BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config/settings_type.h"
#include "core/membership/membership_type.h"
#include "core/message/platform_type.h"

namespace bronze {

/** One other entry VM. */
struct PeerState {
  // Set only from the platform's list of VMs.
  VmState m_listed = VmState::Live;
  std::string m_address;
  DataCentreId m_dataCentre;
  TimePoint m_listedSince;

  // Set only from heartbeats.
  std::optional<TimePoint> m_lastHeartbeat;  ///< Of the current incarnation.
  Incarnation m_incarnation;
  HeartbeatSequence m_lastSequence;  ///< Highest received; echoed to the peer.
  Epoch m_epoch;
  ConfigVersion m_configInForce;
  ConfigVersion m_configHeld;
  std::vector<VmId> m_suspects;  ///< VMs that the peer suspects.
  bool m_draining = false;

  bool m_suspected = false;  ///< This daemon suspected it at the last tick.
};

struct MembershipState {
  VmId m_self;
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;
  CoordinationSettings m_settings;

  EpochRow m_row;           ///< The adopted epoch; 0 before the first one.
  RowVersion m_rowVersion;  ///< For the conditional write of the next epoch.
  bool m_rowKnown = false;  ///< The row was read or received at least once.

  std::map<VmId, PeerState> m_peers;  ///< All listed entry VMs except this one.
  bool m_draining = false;            ///< This VM is to leave the epoch.
  HeartbeatSequence m_sequence;       ///< Of the last round of heartbeats.

  /** The time without a heartbeat is not counted before this point, so that a
   * daemon that was paused does not suspect all others. */
  TimePoint m_listeningSince;
  TimePoint m_lastTick;
  /** Since when the wanted members have differed from those of the epoch. */
  std::optional<TimePoint> m_changeDueSince;
};

}  // namespace bronze

#endif  // BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H_
