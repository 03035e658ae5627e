/**
 * @file membership_cmd.h Commands on what a daemon knows about the other VMs.
 */

#ifndef BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_CMD_H_
#define BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_CMD_H_

#include "core/membership/membership_base.h"
#include "core/message/platform_type.h"
#include "core/metrics/counter_func.h"

namespace bronze {

/** Sets the start time. Must be called once, before all other commands. */
void StartMembership(MembershipState& aState, TimePoint aNow);

/**
 * Applies the platform's list, the only source that says whether a VM exists,
 * is leaving or is gone. A VM that is not in the list keeps its last state,
 * because the list may be out of date. A VM that is gone stays gone.
 */
void ApplyVmList(MembershipState& aState, const std::vector<VmInfo>& aVms,
                 TimePoint aNow, MembershipEffects& aEffects);

/**
 * Handles a message whose body is a Heartbeat, the only source that says
 * whether a VM is alive.
 *
 * @return false when the sender is unknown, gone or an earlier incarnation, or
 * when the heartbeat is not newer than the last one. The caller must then pass
 * it to no other module.
 */
bool ReceiveHeartbeat(MembershipState& aState, const PeerMessage& aMessage,
                      TimePoint aNow, Counters& aCounters,
                      MembershipEffects& aEffects);

/** Updates which peers are suspected. Must be called at least once per
 * heartbeat interval. */
void TickMembership(MembershipState& aState, TimePoint aNow,
                    Counters& aCounters, MembershipEffects& aEffects);

/** Content of the heartbeats that does not come from MembershipState. */
struct HeartbeatPayload {
  ConfigVersion m_configInForce;
  ConfigVersion m_configHeld;
  bool m_configCurrent = false;  ///< From IsConfigCurrent().
  std::vector<RackSummary> m_racks;
};

/**
 * Appends one heartbeat for each peer that is not gone, all with the next
 * sequence number. They must be sent as soon as they are built: the echo
 * guarantees that this daemon is in the epoch of the message header at the time
 * it builds the heartbeat.
 *
 * @return the sequence number of the round.
 */
HeartbeatSequence SendHeartbeats(MembershipState& aState,
                                 const HeartbeatPayload& aPayload,
                                 Counters& aCounters,
                                 MembershipEffects& aEffects);

/**
 * Adopts a committed epoch row, read from the table or sent by a peer, if it is
 * later than the adopted one.
 *
 * @return whether it was adopted. The caller must then pass it to AdoptEpoch()
 * and SetConfigMembers() and send heartbeats at once: new owners of units wait
 * until they know that this daemon has adopted it.
 */
bool AdoptEpochRow(MembershipState& aState, const EpochRow& aRow,
                   RowVersion aVersion, Counters& aCounters);

/**
 * Decides whether this daemon should propose a new epoch now. The caller
 * commits the returned row under the condition that the epoch row still has the
 * version m_rowVersion, and must not call this again before the outcome is
 * known.
 *
 * @param aUnsettled The earlier epochs to list, from UnsettledForProposal().
 */
[[nodiscard]] std::optional<EpochRow> ProposeEpoch(
    MembershipState& aState, const std::vector<EarlierEpoch>& aUnsettled,
    TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_CMD_H_
