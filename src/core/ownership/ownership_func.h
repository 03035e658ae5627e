/**
 * @file ownership_func.h Queries on authority and units.
 */

#ifndef BRONZE_CORE_OWNERSHIP_OWNERSHIP_FUNC_H_
#define BRONZE_CORE_OWNERSHIP_OWNERSHIP_FUNC_H_

#include "core/ownership/ownership_base.h"

namespace bronze {

/** @return the longest time that aDuration on another VM's clock can take on
 * this VM's clock, plus the safety margin. */
[[nodiscard]] Duration WithMargin(const CoordinationSettings& aSettings,
                                  Duration aDuration);

/** @return whether the table has not answered for 2 s. */
[[nodiscard]] bool IsStoreUnreachable(const OwnershipState& aState,
                                      TimePoint aNow);

/** @return the end of the authority; aNow or earlier when there is none. */
[[nodiscard]] TimePoint AuthorityUntil(const OwnershipState& aState,
                                       TimePoint aNow);

/** @return the source of the authority at aNow. */
[[nodiscard]] AuthoritySource SourceOfAuthority(const OwnershipState& aState,
                                                TimePoint aNow);

/**
 * @return whether this daemon may act for the unit at aNow. Must be checked
 * immediately before each dispatch, grant and commit.
 */
[[nodiscard]] bool MayAct(const OwnershipState& aState, const UnitId& aUnit,
                          TimePoint aNow);

/** @return the unit's owner in the adopted epoch, or the invalid id. */
[[nodiscard]] VmId OwnerOf(const OwnershipState& aState, const UnitId& aUnit);

/** @return whether no daemon can have valid authority in the earlier epoch at
 * aNow. */
[[nodiscard]] bool IsSettled(const OwnershipState& aState,
                             const EarlierEpochState& aEarlier, TimePoint aNow);

/** @return the unsettled epochs that the next epoch's row must list. */
[[nodiscard]] std::vector<EarlierEpoch> UnsettledForProposal(
    const OwnershipState& aState, TimePoint aNow);

/** @return this VM's lease row for the next group commit. */
[[nodiscard]] LeaseRow MakeLeaseRow(const OwnershipState& aState,
                                    CommitSequence aSequence,
                                    ConfigVersion aConfigHeld);

/**
 * @return the VMs whose lease rows may show that a waiting unit need not wait
 * any longer: earlier owners that have not yet been seen to release it or to
 * adopt a later epoch.
 */
[[nodiscard]] std::vector<VmId> LeaseRowsToRead(const OwnershipState& aState,
                                                TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_OWNERSHIP_OWNERSHIP_FUNC_H_
