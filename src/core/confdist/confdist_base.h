/**
 * @file confdist_base.h Versions of the configuration on the VMs of a region.
 */

#ifndef BRONZE_CORE_CONFDIST_CONFDIST_BASE_H_
#define BRONZE_CORE_CONFDIST_CONFDIST_BASE_H_

#include <map>
#include <optional>

#include "core/confdist/confdist_type.h"
#include "core/message/epoch_type.h"

namespace bronze {

/** Configuration versions on another VM. */
struct PeerConfig {
  Incarnation m_incarnation;
  ConfigVersion m_inForce;
  ConfigVersion m_held;
  bool m_current = false;  ///< As m_configCurrent in Heartbeat.
  TimePoint m_seen;        ///< Last heartbeat; TimePoint{}: none yet.
};

/** A version that this daemon committed and whose operator waits for an answer.
 */
struct PendingAnswer {
  ConfigVersion m_version;
  TimePoint m_until;  ///< Latest time of the answer.
};

struct ConfdistState {
  VmId m_self;
  Incarnation m_incarnation;
  std::vector<Member> m_members;  ///< Of the adopted epoch.

  ConfigVersion m_inForce;  ///< Never decreases; 0: none.
  ConfigVersion m_held;     ///< At least m_inForce; its text is m_heldText.
  std::string m_heldText;
  /** Highest version that exists as far as self knows; at least m_held. */
  ConfigVersion m_maxKnown;

  /** config/head has been read since the start of the process. */
  bool m_tableHeadRead = false;
  ConfigVersion m_tableHead;  ///< Highest version read from config/head.
  /** The first version that was read from config/head after self became a
   * member. 0: there is no configuration. */
  std::optional<ConfigVersion> m_headReadAsMember;
  bool m_ready = false;  ///< ConfigReady was returned; stays true.
  std::map<VmId, PeerConfig> m_peers;
  std::map<OperatorCallId, PendingAnswer> m_pending;
  TimePoint m_nextFetch;  ///< Next fetch of a version known but not held.
  TimePoint m_nextPush;
  TimePoint m_nextLeaseRows;  ///< Next scan of the lease rows.
};

}  // namespace bronze

#endif  // BRONZE_CORE_CONFDIST_CONFDIST_BASE_H_
