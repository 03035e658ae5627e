/**
 * @file runner_base.h The runners as known to one entry VM.
 */

#ifndef BRONZE_CORE_REQUEST_RUNNER_BASE_H_
#define BRONZE_CORE_REQUEST_RUNNER_BASE_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze {

using RunnerIndex = uint32_t;  ///< Row of a runner in a RunnerPool.
inline constexpr uint32_t kNotInFreeList = UINT32_MAX;

/** Adaptive limit on the number of concurrent requests of one runner. */
struct ConcurrencyLimit {
  double m_limit = 0.0;     ///< At least 1; 0 until set: no limit but slots.
  double m_slowdown = 1.0;  ///< Mean of run time / KindState::m_floorRun.
  double m_slowdownFloor = 1.0;  ///< Slowly rising lower bound of m_slowdown.
  TimePoint m_nextDecrease;      ///< At most one decrease per run time.
};

/** A runner as known to this entry VM. */
struct RunnerState {
  RunnerId m_id;
  VmId m_owner;  ///< Slot owner; invalid when it is not known.
  Incarnation m_ownerIncarnation;
  Slots m_capacity;         ///< Slots of the runner, from the VM list.
  Slots m_granted;          ///< Slots that this entry VM may use.
  TimePoint m_validUntil;   ///< End of the grant, by the local clock.
  Slots m_formerGrant;      ///< Expired, or granted by the previous owner.
  TimePoint m_formerUntil;  ///< End of reporting m_formerGrant.
  bool m_formerGrantByOwner = false;  ///< m_formerGrant was granted by m_owner.
  Slots m_busy;  ///< In use; above m_granted after a grant was lowered.
  int64_t m_standing = 0;  ///< Running standing requests; they hold no slot.
  ConcurrencyLimit m_limit;
  int m_failuresInRow = 0;
  TimePoint m_excludedUntil;  ///< Gets no request before this time.
  TimePoint m_lastSuccess;
  bool m_leaving = false;  ///< Leaving the VM list: gets no new request.
  uint32_t m_freeListIndex = kNotInFreeList;  ///< In RunnerPool::m_freeList.
};

/**
 * A slot in use by a request whose connection this VM closed; the runner may
 * still be running it.
 */
struct ClosedSlot {
  RunnerIndex m_runner = 0;
  bool m_long = false;
};

struct RunnerPool {
  std::vector<RunnerState> m_rows;
  std::unordered_map<RunnerId, RunnerIndex> m_index;
  /** Rows that may have a free slot; HasFreeSlot() decides for each. */
  std::vector<RunnerIndex> m_freeList;
  std::vector<RunnerIndex> m_unusedRows;  ///< Reused for new runners.
  std::multimap<TimePoint, ClosedSlot> m_closedSlots;  ///< By end of use.
  std::multimap<TimePoint, RunnerIndex> m_excluded;    ///< By end of exclusion.
};

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_RUNNER_BASE_H_
