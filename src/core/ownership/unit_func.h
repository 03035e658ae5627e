/**
 * @file unit_func.h Names of units, and the assignment of units to members.
 */

#ifndef BRONZE_CORE_OWNERSHIP_UNIT_FUNC_H_
#define BRONZE_CORE_OWNERSHIP_UNIT_FUNC_H_

#include <array>
#include <optional>
#include <string_view>

#include "core/message/epoch_type.h"
#include "core/ownership/ownership_type.h"

namespace bronze {

[[nodiscard]] UnitId RunnerUnit(const RunnerId& aRunner);
[[nodiscard]] UnitId RackUnit(const RackId& aRack);
[[nodiscard]] UnitId TeamUnit(const TeamId& aTeam);
[[nodiscard]] UnitId KeyUnit(const IdempotencyKey& aKey);
[[nodiscard]] UnitId ShardUnit(UnitKind aKind, ShardId aShard);

/** @return the name KIND/ID or KIND/SHARD, as used in the message Release. */
[[nodiscard]] std::string UnitName(const UnitId& aUnit);

/** @return the unit with this name, or nothing if it is malformed. */
[[nodiscard]] std::optional<UnitId> ParseUnit(std::string_view aName);

/** Owners of the units in one epoch. */
struct Assignment {
  std::vector<VmId> m_members;
  /** Index into m_members for each shard; empty if there are no members. */
  std::vector<uint16_t> m_teamOwners;
  std::vector<uint16_t> m_keyOwners;  ///< As m_teamOwners.
};

/**
 * Assigns the shards by rendezvous hashing. No member gets more than 1.1 times
 * the mean, rounded up. The result depends on the VM ids alone, so a restart
 * with a new incarnation moves no shard.
 */
[[nodiscard]] Assignment AssignUnits(const std::vector<Member>& aMembers);

/**
 * @return the owner, or the invalid id when there are no members. The number of
 * runners and racks per member has no limit: daemons read the list of them at
 * different times, and with a limit the owner of one would depend on which
 * others a daemon knows.
 */
[[nodiscard]] VmId OwnerIn(const Assignment& aAssignment, const UnitId& aUnit);

}  // namespace bronze

#endif  // BRONZE_CORE_OWNERSHIP_UNIT_FUNC_H_
