/**
 * @file id_type.h Ids and sequence numbers that more than one module uses.
 */

#ifndef BRONZE_CORE_BASE_ID_TYPE_H_
#define BRONZE_CORE_BASE_ID_TYPE_H_

#include "core/base/strong_type.h"

namespace bronze {

using VmId = NameId<struct VmIdTag>;          ///< An entry VM of this system.
using RunnerId = NameId<struct RunnerIdTag>;  ///< A backend server.
using WorkerId = NameId<struct WorkerIdTag>;
using RackId = NameId<struct RackIdTag>;
using DataCentreId = NameId<struct DataCentreIdTag>;
using RegionId = NameId<struct RegionIdTag>;
using TeamId = NameId<struct TeamIdTag>;
using CallerId = NameId<struct CallerIdTag>;
using KindId = NameId<struct KindIdTag>;  ///< A kind of request or task.
using IdempotencyKey = NameId<struct IdempotencyKeyTag>;
/** Name of an object in the object store. */
using ObjectName = NameId<struct ObjectNameTag>;

using RequestId = NumberId<struct RequestIdTag>;
using JobId = NumberId<struct JobIdTag>;
/** A set of runners and jobs that one entry VM schedules. */
using CellId = NumberId<struct CellIdTag, uint32_t>;

/** Number of a committed list of member VMs. */
using Epoch = Sequence<struct EpochTag>;
/** Tells the processes that run under one VM id apart; later ones are higher.
 */
using Incarnation = Sequence<struct IncarnationTag>;
using FencingToken = Sequence<struct FencingTokenTag>;
using ConfigVersion = Sequence<struct ConfigVersionTag>;
/** Milliseconds on the store's monotonic clock, which every VM can read. */
using StoreMillis = Quantity<struct StoreMillisTag>;
/** Version of a table row; 0: the row does not exist. */
using RowVersion = Sequence<struct RowVersionTag>;
using CommitSequence = Sequence<struct CommitSequenceTag>;
using GrantSequence = Sequence<struct GrantSequenceTag>;
using HeartbeatSequence = Sequence<struct HeartbeatSequenceTag>;

/** One task of a job. */
struct TaskId {
  JobId m_job;
  uint32_t m_index = 0;  ///< Less than the job's number of tasks.

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

}  // namespace bronze

template <>
struct std::hash<bronze::TaskId> {
  size_t operator()(const bronze::TaskId& aId) const noexcept {
    // Multiplying by the fractional part of the golden ratio spreads small
    // indices over all bits.
    return std::hash<bronze::JobId>()(aId.m_job) ^
           (aId.m_index * 0x9E3779B97F4A7C15ULL);
  }
};

#endif  // BRONZE_CORE_BASE_ID_TYPE_H_
