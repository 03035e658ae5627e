/**
 * @file claim_func.h Decides how long a VM waits before it claims a cell
 * without a live owner, so that the VM that can carry the cell claims first.
 */

#ifndef BRONZE_CORE_SCHED_CLAIM_FUNC_H_
#define BRONZE_CORE_SCHED_CLAIM_FUNC_H_

#include <string_view>

#include "core/sched/claim_type.h"

namespace bronze::sched {

/** @return aVm as a share of aOther, by the resource in which it is smallest;
 *          1 if nothing is known of both. */
[[nodiscard]] double CapabilityRatio(const VmCapability& aVm,
                                     const VmCapability& aOther);

/** Whether aVm is so much smaller than aOther that the latter should own a cell
 *  instead. Never true for both orders of two VMs. */
[[nodiscard]] bool IsMuchSmaller(const VmCapability& aVm,
                                 const VmCapability& aOther);

/**
 * Whether the cell should be on aOther instead of aVm, although they also have
 * other cells: aVm is much smaller, and what makes it so remains if the
 * capability of both is shared out among their cells and this one.
 */
[[nodiscard]] bool ShouldPrefer(const KnownVm& aOther, const KnownVm& aVm);

/** @return the one with more CPU. */
[[nodiscard]] VmCapability LargerOf(const VmCapability& aLeft,
                                    const VmCapability& aRight);

/**
 * @return the wait before the claim. It differs by VM, is longer on a VM that
 *         owns cells already, so that cells are spread, and longer by a bounded
 *         margin on a VM that is much smaller than the largest one known or is
 *         not the named successor.
 */
[[nodiscard]] ClaimDelay DecideClaimDelay(const ClaimView& aView);

/** @return the name for log lines and metrics. */
[[nodiscard]] std::string_view NameOf(ClaimReason aReason);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CLAIM_FUNC_H_
