/**
 * @file slot_owner_base.h State of a slot owner: the slots that each entry VM
 * holds.
 */

#ifndef BRONZE_CORE_REQUEST_SLOT_OWNER_BASE_H_
#define BRONZE_CORE_REQUEST_SLOT_OWNER_BASE_H_

#include <map>
#include <set>
#include <vector>

#include "core/config/settings_type.h"
#include "core/request/request_type.h"

namespace bronze {

/** Slots of one runner that one entry VM holds or uses. */
struct HeldSlots {
  Slots m_granted;     ///< In the latest grant.
  Slots m_maxInForce;  ///< Largest grant that may still be in force.
  /** First grant with m_granted; once confirmed, m_maxInForce is m_granted. */
  GrantSequence m_loweredInGrant;
  Slots m_busy;  ///< In use, by the latest report.
};

/**
 * Slots of an entry VM that was removed or restarted. Its requests may still
 * run, so the slots count as busy until the longest window is over.
 */
struct LostSlots {
  Slots m_slots;
  TimePoint m_until;
};

struct OwnedRunner {
  Slots m_slots;
  bool m_leaving = false;  ///< No slots are granted any more.
  std::map<VmId, HeldSlots> m_holders;
  std::vector<LostSlots> m_lost;
  // Takeover, until all entry VMs have reported to this new owner:
  Slots m_unaccounted;           ///< Slots not covered by any report yet.
  std::set<VmId> m_unreported;   ///< Members whose first report is missing.
  bool m_membersLost = false;    ///< Some VM left without reporting its slots.
  TimePoint m_unaccountedUntil;  ///< When m_unaccounted becomes free.
};

/** State of the message exchange with one entry VM that holds slots. */
struct HolderLink {
  Incarnation m_incarnation;
  HeartbeatSequence m_reportSeen;
  TimePoint m_reportAt;       ///< Receipt time of the latest report.
  GrantSequence m_grantSeen;  ///< Confirmed by the latest report.
  SlotDemand m_demand;
  bool m_lapsed = true;     ///< No grant is in force.
  TimePoint m_lapsedSince;  ///< Valid while m_lapsed.
};

struct SlotOwnerState {
  VmId m_self;
  Incarnation m_incarnation;  ///< Of this daemon.
  RequestSettings m_settings;
  CoordinationSettings m_coordination;  ///< Clock drift and margin.
  Epoch m_epoch;
  std::set<VmId> m_members;
  std::map<RunnerId, OwnedRunner> m_runners;
  std::map<VmId, HolderLink> m_holders;
  GrantSequence m_lastGrant;
};

/** A runner that this daemon owns and whose takeover is complete. */
struct OwnedRunnerInfo {
  Slots m_slots;
  bool m_leaving = false;
};

struct SendSlotGrant {
  VmId m_to;
  SlotGrant m_grant;
};
using SlotOwnerEffects = std::vector<SendSlotGrant>;

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_SLOT_OWNER_BASE_H_
