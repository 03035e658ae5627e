/**
 * @file key_shard_func.h Shard and owner of an idempotency key.
 */

#ifndef BRONZE_CORE_REQUEST_KEY_SHARD_FUNC_H_
#define BRONZE_CORE_REQUEST_KEY_SHARD_FUNC_H_

#include "core/request/request_type.h"

namespace bronze {

/** @return the shard of a key, which is the same in every daemon. */
[[nodiscard]] KeyShard KeyShardOf(const IdempotencyKey& aKey);

/** @return the owner of a key, or an invalid id if it is not known. */
[[nodiscard]] VmId KeyOwnerOf(const UnitOwners& aOwners,
                              const IdempotencyKey& aKey);

/** @return how long the state of a key is kept after its last change. */
[[nodiscard]] inline Duration KeyRetention(Duration aMaxWindow) {
  return 2 * aMaxWindow;
}

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_KEY_SHARD_FUNC_H_
