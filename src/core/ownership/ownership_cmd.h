/**
 * @file ownership_cmd.h Commands on authority and units.
 *
 * There is one command for each external event that the rules of ownership
 * depend on.
 */

#ifndef BRONZE_CORE_OWNERSHIP_OWNERSHIP_CMD_H_
#define BRONZE_CORE_OWNERSHIP_OWNERSHIP_CMD_H_

#include "core/message/peer_message_type.h"
#include "core/metrics/counter_func.h"
#include "core/ownership/ownership_base.h"

namespace bronze {

/** Replaces the list of runners and racks that exist. */
void SetListedUnits(OwnershipState& aState,
                    const std::vector<RunnerId>& aRunners,
                    const std::vector<RackId>& aRacks,
                    OwnershipEffects& aEffects);

/**
 * Adopts a committed epoch row if it is later than the adopted one. Units that
 * self loses are released within this call. Units that it gains wait until no
 * earlier owner can act for them.
 */
void AdoptEpoch(OwnershipState& aState, const EpochRow& aRow, TimePoint aNow,
                Counters& aCounters, OwnershipEffects& aEffects);

/**
 * A commit that wrote this VM's lease row and checked the epoch row took
 * effect.
 *
 * @param aEpoch The epoch whose row was checked. The call extends no authority
 *        if it is not the adopted one.
 * @param aSent A time before the commit was sent, not that of its answer.
 */
void CommitAcknowledged(OwnershipState& aState, Epoch aEpoch, TimePoint aSent,
                        TimePoint aNow);

/** The table answered a read or a commit, with success or not. */
void StoreAnswered(OwnershipState& aState, TimePoint aNow);

/** A round of heartbeats is about to be sent. */
void HeartbeatsSent(OwnershipState& aState, HeartbeatSequence aSequence,
                    TimePoint aNow);

/** A heartbeat that ReceiveHeartbeat() accepted. */
void HeartbeatReceived(OwnershipState& aState, const PeerMessage& aMessage,
                       TimePoint aNow);

/** The platform's list says that the VM is gone for good. */
void VmGone(OwnershipState& aState, const VmId& aVm, TimePoint aNow);

/** A message Release arrived. */
void ReleaseReceived(OwnershipState& aState, const PeerMessage& aMessage);

/** Another VM's lease row was read from the table. */
void LeaseRowRead(OwnershipState& aState, const LeaseRow& aRow, TimePoint aNow);

/** Releases all units in this epoch, at the end of a drain. */
void ReleaseAll(OwnershipState& aState, TimePoint aNow, Counters& aCounters,
                OwnershipEffects& aEffects);

/**
 * Starts to act for waiting units whose earlier owners can no longer act,
 * repeats releases and reports changes of the authority. Must be called at
 * least every 100 ms.
 */
void TickOwnership(OwnershipState& aState, TimePoint aNow, Counters& aCounters,
                   OwnershipEffects& aEffects);

}  // namespace bronze

#endif  // BRONZE_CORE_OWNERSHIP_OWNERSHIP_CMD_H_
