/**
 * @file ownership_type.h Units of ownership, and effects of the ownership part.
 */

#ifndef BRONZE_CORE_OWNERSHIP_OWNERSHIP_TYPE_H_
#define BRONZE_CORE_OWNERSHIP_OWNERSHIP_TYPE_H_

#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace bronze {

using ShardId = NumberId<struct ShardIdTag, uint16_t>;

/** Number of shards of teams, and also of idempotency keys. */
inline constexpr uint16_t kShardCount = 256;

enum class UnitKind : uint8_t { Runner, Rack, Team, Key };

/**
 * A unit of ownership: a runner, a rack, a shard of teams or a shard of
 * idempotency keys. At most one daemon acts for it at a time. Written as
 * KIND/ID or KIND/SHARD.
 */
struct UnitId {
  UnitKind m_kind = UnitKind::Runner;
  std::string m_name;  ///< Runners and racks only.
  ShardId m_shard;     ///< Teams and keys only, less than kShardCount.

  friend auto operator<=>(const UnitId&, const UnitId&) = default;
};

/** Waiting: owned in the adopted epoch, but an earlier owner may still act for
 * it. Released: owned, but this daemon has stopped acting for it. */
enum class UnitState : uint8_t { Waiting, Acting, Released };

/** This daemon may act for the unit from now on: read its state from the table
 * first. */
struct UnitAcquired {
  UnitId m_unit;
};

/** This daemon no longer acts for the unit: drop the state of the unit. */
struct UnitLost {
  UnitId m_unit;
};

/** Tell the new owner that this daemon no longer acts for the units. */
struct SendRelease {
  VmId m_to;
  std::vector<UnitId> m_units;
};

/** The authority began or ended. It is checked at each tick only, while
 * MayAct() is exact at any time. */
struct AuthorityChanged {
  bool m_valid = false;
};

using OwnershipEffect =
    std::variant<UnitAcquired, UnitLost, SendRelease, AuthorityChanged>;
using OwnershipEffects = std::vector<OwnershipEffect>;

/** Source of the authority: commits to the table, or confirmations by peers
 * while the table is unreachable. */
enum class AuthoritySource : uint8_t { None, Store, Peers };

}  // namespace bronze

#endif  // BRONZE_CORE_OWNERSHIP_OWNERSHIP_TYPE_H_
