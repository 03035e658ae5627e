/**
 * @file slot_demand_func.h Computes how many slots an entry VM asks for.
 */

#ifndef BRONZE_CORE_REQUEST_SLOT_DEMAND_FUNC_H_
#define BRONZE_CORE_REQUEST_SLOT_DEMAND_FUNC_H_

#include "core/request/request_base.h"

namespace bronze {

/** Unrounded number of slots needed from all owners together. */
struct SlotNeed {
  double m_short = 0.0;
  double m_long = 0.0;
};

/** @return the slots that the running and queued requests need now. */
[[nodiscard]] SlotNeed CurrentNeed(const RequestState& aState);

/** Samples the current need. @return the need forecast for the next step. */
[[nodiscard]] SlotNeed ExpectedNeed(RequestState& aState, TimePoint aNow);

/** Updates the total slots of each owner's usable runners. */
void MeasureCapacity(RequestState& aState, TimePoint aNow);
[[nodiscard]] Slots TotalCapacity(const SlotHolderState& aSlots);

/** @return whole slots to ask for from all owners together. */
[[nodiscard]] SlotDemand TotalDemand(const RequestState& aState,
                                     const SlotNeed& aNeed);

/** @return the rounding offset of this VM for DemandPart(), in [0, 1). */
[[nodiscard]] double SplitStart(const VmId& aSelf);

/**
 * Splits the demand among the owners by capacity.
 * @param aFrom, aTo one owner's part of the capacity, as an interval in [0, 1].
 *        The results for adjoining intervals add up to the whole demand.
 * @param aStart rounding offset from SplitStart().
 * @return the demand to send to this owner.
 */
[[nodiscard]] SlotDemand DemandPart(const SlotDemand& aTotal, double aFrom,
                                    double aTo, double aStart);

/** Whether the rise is large enough to report it before the next renewal. */
[[nodiscard]] bool HasDemandRisen(const SlotDemand& aOld,
                                  const SlotDemand& aNew);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_SLOT_DEMAND_FUNC_H_
