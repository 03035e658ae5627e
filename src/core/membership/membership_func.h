/**
 * @file membership_func.h Queries on the members.
 */

#ifndef BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_FUNC_H_
#define BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_FUNC_H_

#include "core/membership/membership_base.h"
#include "core/membership/quorum_func.h"

namespace bronze {

/** @return whether this incarnation of the daemon is a member of the epoch. */
[[nodiscard]] bool IsMember(const MembershipState& aState);

/** @return whether this daemon has received no heartbeat of the peer for the
 * time after which a peer is suspected. */
[[nodiscard]] bool IsUnresponsive(const MembershipState& aState,
                                  const PeerState& aPeer, TimePoint aNow);

/**
 * @return whether more than half of the other live members suspect aVm. If this
 * daemon is the only one of them, aVm must be unresponsive for one heartbeat
 * interval longer, because no second observer can correct a mistake.
 */
[[nodiscard]] bool IsSuspectedByMajority(const MembershipState& aState,
                                         const VmId& aVm, TimePoint aNow);

/** @return the members that the next epoch should have, sorted by id. */
[[nodiscard]] std::vector<Member> WantedMembers(const MembershipState& aState,
                                                TimePoint aNow);

/** @return the status of a known VM, or of this one, for operators. */
[[nodiscard]] VmStatus VmStatusOf(const MembershipState& aState,
                                  const VmId& aVm);

/** @return how long this daemon waits before it proposes a change that is due,
 * or nothing if it must not propose one. */
[[nodiscard]] std::optional<Duration> ProposalDelay(
    const MembershipState& aState, TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_FUNC_H_
