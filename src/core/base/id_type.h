/**
 * @file id_type.h Ids and rising numbers that more than one part uses.
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
using ObjectName = NameId<struct ObjectNameTag>;  ///< In the object store.

using RequestId = NumberId<struct RequestIdTag>;
using JobId = NumberId<struct JobIdTag>;

using Epoch = Sequence<struct EpochTag>;
using Incarnation = Sequence<struct IncarnationTag>;  ///< Of one VM id.
using FencingToken = Sequence<struct FencingTokenTag>;
using ConfigVersion = Sequence<struct ConfigVersionTag>;
/** Milliseconds on the store's steady clock, which all VMs can read. */
using StoreMillis = Quantity<struct StoreMillisTag>;
using RowVersion = Sequence<struct RowVersionTag>;  ///< 0: no such row.
using CommitSequence = Sequence<struct CommitSequenceTag>;
using GrantSequence = Sequence<struct GrantSequenceTag>;
using HeartbeatSequence = Sequence<struct HeartbeatSequenceTag>;

/** One task of a job. */
struct TaskId {
  JobId m_job;
  uint32_t m_index = 0;  ///< Below the job's number of tasks.

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

}  // namespace bronze

template <>
struct std::hash<bronze::TaskId> {
  size_t operator()(const bronze::TaskId& aId) const noexcept {
    // The odd constant is the fractional part of the golden ratio; it spreads
    // the small indices over all bits.
    return std::hash<bronze::JobId>()(aId.m_job) ^
           (aId.m_index * 0x9E3779B97F4A7C15ULL);
  }
};

#endif  // BRONZE_CORE_BASE_ID_TYPE_H_
